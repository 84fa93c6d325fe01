#include "steering/outlierdetector.h"

#include <algorithm>
#include <utility>

namespace Steering {

void
OutlierDetector::recordAnswer(std::uint32_t aSlots)
{
  mFailures = 0;
  if (std::exchange(mIsEjected, false)) {
    mRequestLimit = 1;
    return;
  }
  mRequestLimit = 2 * mRequestLimit >= aSlots ? 0 : 2 * mRequestLimit;
}

bool
OutlierDetector::recordFailure(Core::TimePoint aNow)
{
  ++mFailures;
  const bool isRecovering = mRequestLimit > 0;
  if (mIsEjected || (mFailures < kFailureThreshold && !isRecovering)) {
    return false;
  }
  mIsEjected = true;
  mRequestLimit = 0;
  mLastProbeAt = aNow;
  mLastIdempotentAt = aNow;
  return true;
}

bool
OutlierDetector::takeProbe(bool aIsIdempotent, Core::TimePoint aNow)
{
  if (aIsIdempotent) {
    mLastIdempotentAt = aNow;
  }
  const bool isSuitable =
    aIsIdempotent || aNow - mLastIdempotentAt >= kIdempotentProbeTimeout;
  if (!isSuitable || aNow - mLastProbeAt < kProbeInterval) {
    return false;
  }
  mLastProbeAt = aNow;
  return true;
}

std::uint32_t
OutlierDetector::usableSlots(std::uint32_t aSlots) const
{
  return mRequestLimit == 0 ? aSlots : std::min(mRequestLimit, aSlots);
}

} // namespace Steering
