#include "statuspage.h"

#include "telemetry/metricswriter.h"

#include <json/writer.h>

std::string
formatPage(const Json::Value& aPage)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, aPage) + "\n";
}

std::string
histogramPage(const Telemetry::HistogramSet& aHistograms)
{
  Json::Value page(Json::arrayValue);
  for (const auto& summary : aHistograms.summaries()) {
    Json::Value histogram;
    histogram["service"] = summary.service;
    histogram["kind"] = summary.kind;
    histogram["name"] = summary.name;
    histogram["count"] = Json::Value::UInt64(summary.count);
    histogram["sumSeconds"] = summary.sum;
    histogram["maximumSeconds"] = summary.maximum;
    histogram["p50Seconds"] = summary.p50;
    histogram["p90Seconds"] = summary.p90;
    histogram["p99Seconds"] = summary.p99;
    page.append(histogram);
  }
  return formatPage(page);
}

void
writeEvacuatedZones(const std::vector<Config::EvacuatedZone>& aZones,
                    Telemetry::MetricsWriter& aWriter)
{
  for (const auto& zone : aZones) {
    aWriter.gauge("zone_evacuated_since_revision",
                  "zone",
                  zone.name,
                  static_cast<double>(zone.sinceRevision));
  }
}
