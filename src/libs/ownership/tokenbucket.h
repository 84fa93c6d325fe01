#pragma once

#include "core/clock.h"

#include <algorithm>
#include <chrono>

namespace Ownership {

/** A token bucket for bytes; its capacity is the rate times one second. */
class TokenBucket
{
public:
  explicit TokenBucket(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
    , mAvailableBytes(aBytesPerSecond)
  {
  }

  bool isAvailable(double aBytes, Core::TimePoint aNow)
  {
    refill(aNow);
    return mAvailableBytes >= aBytes;
  }

  /** Always succeeds; the balance may become negative. */
  void consume(double aBytes, Core::TimePoint aNow)
  {
    refill(aNow);
    mAvailableBytes -= aBytes;
  }

private:
  void refill(Core::TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
    mAvailableBytes = std::min(
      mBytesPerSecond, mAvailableBytes + elapsed.count() * mBytesPerSecond);
    mRefilledAt = aNow;
  }

  double mBytesPerSecond;
  double mAvailableBytes;
  Core::TimePoint mRefilledAt{};
};

} // namespace Ownership
