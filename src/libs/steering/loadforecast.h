#pragma once

#include "core/clock.h"

#include <absl/types/span.h>

#include <chrono>
#include <cstdint>

namespace Steering {

struct Candidate;

/** The load and the speed that a balancer expects of a target. */
struct ExpectedLoad
{
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /** Requests that use or await a slot. */
  double requests = 0;
  /** Time to answer one request, without waiting for a slot. */
  Milliseconds serviceTime{ 0 };
};

/**
 * Estimates the present load of a service's targets from their last reports.
 * Requests leave a target at the rate of its service time, and by Little's law
 * the mean number of its requests shows how many arrive. So the load moves from
 * the reported one to the target's mean within about one service time, and to
 * the mean of the service if the target sends no further report. A
 * target without any report counts as having a free slot. Not thread-safe.
 */
class LoadForecast
{
public:
  using Milliseconds = ExpectedLoad::Milliseconds;

  /**
   * The means of the service are computed again after this time. They change
   * slowly, and the computation takes as long as a placement.
   */
  static constexpr std::chrono::milliseconds kUpdateInterval{ 50 };
  /** Time over which the mean load of a target loses its significance. */
  static constexpr std::chrono::milliseconds kMeanLifetime{ 1'000 };
  /** Requests take this many times longer during the slow start. */
  static constexpr double kSlowStartFactor = 1.6;

  /** Sets the time, and updates the means of the service if that is due. */
  void update(absl::Span<const Candidate> aCandidates, Core::TimePoint aNow);
  /**
   * The load now. Until the first update(), reports count as new and service
   * times as reported. An unknown service time counts as
   * ServiceTimeEstimator::kInitialMean.
   */
  ExpectedLoad expectedLoad(const Candidate& aCandidate) const;
  /**
   * Time to answer one request. It is at least the median of the service, since
   * a server that answers with errors is fast.
   */
  Milliseconds serviceTime(const Candidate& aCandidate) const;
  /** False before the first report of a target of the service. */
  bool isSpeedKnown(const Candidate& aCandidate) const;

private:
  /**
   * Requests that are expected of a target without a recent report: the mean of
   * the last reports of the service, with the target's usual share.
   */
  double meanRequests(const Candidate& aCandidate, Milliseconds aAge) const;

  Core::TimePoint mNow{};
  Core::TimePoint mUpdatedAt{};
  /** Means over the targets, from their last reports and from their means. */
  double mRequestsPerSlot = 0;
  double mMeanPerSlot = 0;
  /** 0 if no target has reported its service time. */
  Milliseconds mMedianServiceTime{ 0 };
};

} // namespace Steering
