#pragma once

#include <cstdint>

namespace Steering {

/**
 * Learns from flows whether callers keep those of long-lived routes for further
 * requests. A configuration cannot tell: callers of an idempotent route may as
 * well open a flow for each request. Not thread-safe.
 */
class FlowReuse
{
public:
  /**
   * Below this share of reused flows, flows count as carrying one request each.
   */
  static constexpr double kMinReusedShare = 0.25;

  /** Records the second request of a flow. */
  void recordSecondRequest();
  /** Records the end of a flow that carried a single request. */
  void recordSingleRequest();

  /** Whether the number of open flows shows future load. */
  bool areFlowsReused() const { return mReusedShare >= kMinReusedShare; }

private:
  void record(double aValue);

  /** Smoothed over about twenty flows; undecided at first. */
  double mReusedShare = 0.5;
};

} // namespace Steering
