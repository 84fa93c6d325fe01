#include "steering/loadforecast.h"

#include "steering/servicetimeestimator.h"
#include "steering/targetselection.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <cmath>

namespace Steering {

namespace {

using Milliseconds = LoadForecast::Milliseconds;

/** Reports have whole milliseconds: smaller differences are rounding. */
constexpr Milliseconds kResolution{ 1 };
/**
 * Service times that exceed the median by less than this fraction count as
 * equal to it: the agents measure them with a standard deviation of 5%.
 */
constexpr double kEqualSpeeds = 0.15;
/** Limit for the mean load of a target, as a multiple of the service's mean. */
constexpr double kMaxRelativeMean = 2;

double
slotsOf(const Candidate& aCandidate)
{
  return std::max<std::uint32_t>(aCandidate.target->slots, 1);
}

bool
hasReport(const LoadEstimate& aLoad)
{
  return aLoad.reportedAt != Core::TimePoint{};
}

Milliseconds
medianServiceTime(absl::Span<const Candidate> aCandidates)
{
  absl::InlinedVector<Milliseconds, 64> times;
  for (const auto& candidate : aCandidates) {
    if (candidate.load->reported.serviceTime.count() > 0) {
      times.emplace_back(candidate.load->reported.serviceTime);
    }
  }
  if (times.empty()) {
    return Milliseconds(0);
  }
  // The lower one of two medians, so that half of the servers may be slow.
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

/** The mean of a value per slot, over the candidates that sent a report. */
template<typename ValueOf>
double
meanPerSlot(absl::Span<const Candidate> aCandidates, ValueOf aValueOf)
{
  double sum = 0;
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    if (hasReport(*candidate.load)) {
      sum += aValueOf(*candidate.load);
      slots += slotsOf(candidate);
    }
  }
  return slots > 0 ? sum / slots : 0;
}

} // namespace

void
LoadForecast::update(absl::Span<const Candidate> aCandidates,
                     Core::TimePoint aNow)
{
  mNow = aNow;
  const bool isDue =
    mUpdatedAt == Core::TimePoint{} || aNow - mUpdatedAt >= kUpdateInterval;
  if (isDue) {
    mUpdatedAt = aNow;
    mRequestsPerSlot = meanPerSlot(aCandidates, [](const LoadEstimate& aLoad) {
      return aLoad.reported.inProgress;
    });
    mMeanPerSlot = meanPerSlot(aCandidates, [](const LoadEstimate& aLoad) {
      return aLoad.meanInProgress;
    });
    mMedianServiceTime = medianServiceTime(aCandidates);
  }
}

bool
LoadForecast::isSpeedKnown(const Candidate& aCandidate) const
{
  const auto& load = *aCandidate.load;
  return hasReport(load) || load.reported.serviceTime.count() > 0 ||
         mMedianServiceTime.count() > 0;
}

Milliseconds
LoadForecast::serviceTime(const Candidate& aCandidate) const
{
  const auto tolerance =
    std::max(kResolution, mMedianServiceTime * kEqualSpeeds);
  Milliseconds time = aCandidate.load->reported.serviceTime;
  if (mMedianServiceTime.count() > 0 &&
      time <= mMedianServiceTime + tolerance) {
    time = mMedianServiceTime;
  }
  if (time.count() <= 0) {
    time = ServiceTimeEstimator::kInitialMean;
  }
  if (aCandidate.isSlowStartOver) {
    return time;
  }
  // What a cold target has reported may include its slow start already.
  const bool hasMedian = mMedianServiceTime.count() > 0;
  return std::max(time,
                  (hasMedian ? mMedianServiceTime : time) * kSlowStartFactor);
}

double
LoadForecast::meanRequests(const Candidate& aCandidate, Milliseconds aAge) const
{
  const auto slots = slotsOf(aCandidate);
  const auto relativeMean =
    mMeanPerSlot > 0
      ? std::min(aCandidate.load->meanInProgress / (mMeanPerSlot * slots),
                 kMaxRelativeMean)
      : 1.0;
  const auto weight = std::exp(-aAge / Milliseconds(kMeanLifetime));
  return mRequestsPerSlot * slots * (1 + (relativeMean - 1) * weight);
}

ExpectedLoad
LoadForecast::expectedLoad(const Candidate& aCandidate) const
{
  const auto& load = *aCandidate.load;
  const auto time = serviceTime(aCandidate);
  if (mUpdatedAt == Core::TimePoint{}) {
    return { static_cast<double>(load.inProgress()), time };
  }
  if (!hasReport(load)) {
    // Only a new flow can show whether such a target is full.
    const auto slots = slotsOf(aCandidate);
    const auto mean = std::min(mRequestsPerSlot * slots, slots - 1);
    return { mean + load.unreportedFlows, time };
  }
  const Milliseconds age = std::max(mNow - load.reportedAt, Core::Duration(0));
  const auto mean = meanRequests(aCandidate, age);
  const double reported = load.reported.inProgress;
  // A queue leaves the target no faster than its slots allow.
  const auto lifetime = time * std::max(1.0, reported / slotsOf(aCandidate));
  const auto decay = std::exp(-age / lifetime);
  // The balancer's own flows do not decay, so that it uses targets in turn when
  // reports are old; see docs/design/0012-even-load.md.
  return { mean + (reported - mean) * decay + load.unreportedFlows, time };
}

} // namespace Steering
