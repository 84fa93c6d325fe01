#include "statuspage.h"

#include <json/writer.h>

std::string
formatPage(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, aValue) + "\n";
}

std::string
histogramPage(const Telemetry::HistogramSet& aHistograms)
{
  Json::Value page(Json::arrayValue);
  for (const auto& it : aHistograms.summaries()) {
    Json::Value entry;
    entry["service"] = it.service;
    entry["kind"] = it.kind;
    entry["name"] = it.name;
    entry["count"] = Json::Value::UInt64(it.count);
    entry["sumSeconds"] = it.sum;
    entry["maximumSeconds"] = it.maximum;
    entry["p50Seconds"] = it.p50;
    entry["p90Seconds"] = it.p90;
    entry["p99Seconds"] = it.p99;
    page.append(entry);
  }
  return formatPage(page);
}
