#pragma once

#include "telemetry/counterset.h"
#include "telemetry/histogramset.h"

#include <json/value.h>

#include <string>

/** Formats a JSON page as text. */
std::string
formatPage(const Json::Value& aPage);

/** The JSON text of /histograms. */
std::string
histogramPage(const Telemetry::HistogramSet& aHistograms);

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
