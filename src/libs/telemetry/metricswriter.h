#pragma once

#include "telemetry/counterset.h"
#include "telemetry/histogramset.h"

#include <absl/strings/str_cat.h>

#include <string>

namespace Telemetry {

/** Builds a page in the Prometheus text exposition format, version 0.0.4. */
class MetricsWriter
{
public:
  void counter(absl::string_view aName, std::uint64_t aValue)
  {
    absl::StrAppend(&mPage, "# TYPE lacewingspread_", aName, " counter\n");
    absl::StrAppend(&mPage, "lacewingspread_", aName, " ", aValue, "\n");
  }

  void gauge(absl::string_view aName, double aValue)
  {
    absl::StrAppend(&mPage, "# TYPE lacewingspread_", aName, " gauge\n");
    absl::StrAppend(&mPage, "lacewingspread_", aName, " ", aValue, "\n");
  }

  /** One value of a gauge with a label, whose value needs no escaping. */
  void gauge(absl::string_view aName,
             absl::string_view aLabel,
             absl::string_view aLabelValue,
             double aValue)
  {
    absl::StrAppend(
      &mPage, "lacewingspread_", aName, "{", aLabel, "=\"", aLabelValue);
    absl::StrAppend(&mPage, "\"} ", aValue, "\n");
  }

  template<typename Enum, typename NameOf>
  void counters(const CounterSet<Enum>& aCounters, NameOf aNameOf)
  {
    for (std::size_t i = 0; i < CounterSet<Enum>::kSize; ++i) {
      const auto enumerator = static_cast<Enum>(i);
      counter(absl::StrCat(aNameOf(enumerator), "_total"),
              aCounters.value(enumerator));
    }
  }

  void histograms(const std::vector<HistogramSummary>& aSummaries)
  {
    absl::StrAppend(&mPage,
                    "# TYPE lacewingspread_flow_duration_seconds summary\n");
    for (const auto& summary : aSummaries) {
      const auto labels = absl::StrCat("service=\"",
                                       summary.service,
                                       "\",",
                                       summary.kind,
                                       "=\"",
                                       summary.name,
                                       "\"");
      quantile(labels, "0.5", summary.p50);
      quantile(labels, "0.9", summary.p90);
      quantile(labels, "0.99", summary.p99);
      line("_sum", labels, summary.sum);
      line("_count", labels, static_cast<double>(summary.count));
    }
  }

  const std::string& page() const { return mPage; }

private:
  void quantile(const std::string& aLabels,
                const char* aQuantile,
                double aValue)
  {
    line("", absl::StrCat(aLabels, ",quantile=\"", aQuantile, "\""), aValue);
  }

  void line(const char* aSuffix, const std::string& aLabels, double aValue)
  {
    absl::StrAppend(&mPage,
                    "lacewingspread_flow_duration_seconds",
                    aSuffix,
                    "{",
                    aLabels,
                    "} ",
                    aValue,
                    "\n");
  }

  std::string mPage;
};

} // namespace Telemetry
