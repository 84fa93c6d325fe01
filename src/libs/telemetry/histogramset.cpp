#include "telemetry/histogramset.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <tuple>

namespace Telemetry {

namespace {

namespace Acc = boost::accumulators;

constexpr std::size_t kMaxHistograms = 256;
constexpr std::array<double, 3> kQuantiles{ 0.5, 0.9, 0.99 };

using Accumulator =
  Acc::accumulator_set<double,
                       Acc::stats<Acc::tag::count,
                                  Acc::tag::sum,
                                  Acc::tag::max,
                                  Acc::tag::extended_p_square_quantile>>;

using HistogramKey = std::tuple<std::string, std::string, std::string>;

HistogramSummary
summarize(const HistogramKey& aKey, const Accumulator& aAccumulator)
{
  HistogramSummary summary;
  std::tie(summary.service, summary.kind, summary.name) = aKey;
  summary.count = Acc::count(aAccumulator);
  summary.sum = Acc::sum(aAccumulator);
  summary.maximum = Acc::max(aAccumulator);
  const auto quantileAt = [&aAccumulator](double aQuantile) {
    return Acc::quantile(aAccumulator, Acc::quantile_probability = aQuantile);
  };
  summary.p50 = quantileAt(kQuantiles[0]);
  summary.p90 = quantileAt(kQuantiles[1]);
  summary.p99 = quantileAt(kQuantiles[2]);
  return summary;
}

} // namespace

class HistogramSet::Private
{
public:
  mutable std::mutex mutex;
  std::map<HistogramKey, Accumulator> accumulators;
};

HistogramSet::HistogramSet()
  : d(std::make_unique<Private>())
{
}

HistogramSet::~HistogramSet() = default;

void
HistogramSet::add(const std::string& aService,
                  const std::string& aKind,
                  const std::string& aName,
                  std::chrono::nanoseconds aDuration)
{
  const std::lock_guard lock(d->mutex);
  HistogramKey key{ aService, aKind, aName };
  if (!d->accumulators.contains(key) &&
      d->accumulators.size() >= kMaxHistograms) {
    key = { "other", aKind, "other" };
  }
  auto it = d->accumulators.find(key);
  if (it == d->accumulators.end()) {
    it =
      d->accumulators
        .emplace(key,
                 Accumulator(Acc::extended_p_square_probabilities = kQuantiles))
        .first;
  }
  it->second(std::chrono::duration<double>(aDuration).count());
}

std::vector<HistogramSummary>
HistogramSet::summaries() const
{
  const std::lock_guard lock(d->mutex);
  std::vector<HistogramSummary> result;
  for (const auto& [key, accumulator] : d->accumulators) {
    result.push_back(summarize(key, accumulator));
  }
  return result;
}

} // namespace Telemetry
