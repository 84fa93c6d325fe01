#pragma once

#include "config/document.h"
#include "telemetry/counterset.h"
#include "telemetry/histogramset.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace Telemetry {
class MetricsWriter;
}

/** Formats a JSON page as text. */
std::string
formatPage(const Json::Value& aPage);

/** The JSON text of /histograms. */
std::string
histogramPage(const Telemetry::HistogramSet& aHistograms);

/** Writes the revision since which each evacuated zone gets no new flow. */
void
writeEvacuatedZones(const std::vector<Config::EvacuatedZone>& aZones,
                    Telemetry::MetricsWriter& aWriter);

/** A JSON object with the value of each counter, keyed by its name. */
template<typename Enum>
Json::Value
counterValues(const Telemetry::CounterSet<Enum>& aCounters)
{
  Json::Value values(Json::objectValue);
  for (std::size_t i = 0; i < Telemetry::CounterSet<Enum>::kSize; ++i) {
    const auto counter = static_cast<Enum>(i);
    values[nameOf(counter)] = Json::Value::UInt64(aCounters.value(counter));
  }
  return values;
}
