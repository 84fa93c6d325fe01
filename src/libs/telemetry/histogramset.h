#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Telemetry {

/** What one histogram tells; times in seconds. */
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
 * Durations of flows for each class and each member of a service, kept with
 * Boost.Accumulators. At most 256 are kept; the rest share the name "other".
 * Any thread may add and read.
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
