#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Telemetry {

/** Summary of one histogram; times in seconds. */
struct HistogramSummary
{
  std::string service;
  /** "class" or "member". */
  std::string kind;
  std::string name;
  std::uint64_t count = 0;
  double sum = 0;
  double maximum = 0;
  double p50 = 0;
  double p90 = 0;
  double p99 = 0;
};

/**
 * Histograms of the flow durations of each class and each member of a service,
 * recorded with Boost.Accumulators. If there are 256 histograms, durations of
 * further classes or members are recorded under the service and name "other".
 * Thread-safe.
 */
class HistogramSet
{
public:
  HistogramSet();
  ~HistogramSet();
  HistogramSet(const HistogramSet&) = delete;
  HistogramSet& operator=(const HistogramSet&) = delete;

  void add(const std::string& aService,
           const std::string& aKind,
           const std::string& aName,
           std::chrono::nanoseconds aDuration);

  std::vector<HistogramSummary> summaries() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Telemetry
