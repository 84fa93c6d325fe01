#pragma once

#include "telemetry/counterset.h"
#include "telemetry/histogramset.h"

#include <json/value.h>

#include <string>

/** The text of a JSON page. */
std::string
toText(const Json::Value& aValue);

/** The page of /histograms. */
std::string
histogramPage(const Telemetry::HistogramSet& aHistograms);

/** An object with one number for each counter. */
template<typename Enum>
Json::Value
counterPage(const Telemetry::CounterSet<Enum>& aCounters)
{
  Json::Value page(Json::objectValue);
  for (std::size_t i = 0; i < Telemetry::CounterSet<Enum>::kSize; ++i) {
    const auto it = static_cast<Enum>(i);
    page[nameOf(it)] = Json::Value::UInt64(aCounters.value(it));
  }
  return page;
}
