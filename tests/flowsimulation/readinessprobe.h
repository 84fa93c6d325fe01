#pragma once

#include "core/clock.h"

#include <chrono>

namespace FlowTesting {

/**
 * The fabric's readiness probe of one balancer. Two failed probes remove the
 * balancer from rotation, a successful one returns it.
 */
class ReadinessProbe
{
public:
  static constexpr std::chrono::milliseconds kInterval{ 500 };
  static constexpr int kMaxFailures = 2;

  explicit ReadinessProbe(Core::TimePoint aFirstAt)
    : mNextAt(aFirstAt)
  {
  }

  bool isDue(Core::TimePoint aNow) const { return aNow >= mNextAt; }
  void record(bool aIsReady, Core::TimePoint aNow)
  {
    mNextAt = aNow + kInterval;
    mFailureCount = aIsReady ? 0 : mFailureCount + 1;
  }
  bool isInRotation() const { return mFailureCount < kMaxFailures; }

private:
  Core::TimePoint mNextAt;
  int mFailureCount = 0;
};

} // namespace FlowTesting
