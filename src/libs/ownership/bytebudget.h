#pragma once

#include "core/clock.h"

#include <algorithm>
#include <chrono>

namespace Ownership {

/** A token bucket of bytes that holds one second's worth. */
class ByteBudget
{
public:
  explicit ByteBudget(double aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
    , mBytes(aBytesPerSecond)
  {
  }

  bool has(double aBytes, Core::TimePoint aNow)
  {
    refill(aNow);
    return mBytes >= aBytes;
  }

  /** Takes the bytes, also when they are not there; then it owes them. */
  void take(double aBytes, Core::TimePoint aNow)
  {
    refill(aNow);
    mBytes -= aBytes;
  }

private:
  void refill(Core::TimePoint aNow)
  {
    const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
    mBytes =
      std::min(mBytesPerSecond, mBytes + elapsed.count() * mBytesPerSecond);
    mRefilledAt = aNow;
  }

  double mBytesPerSecond;
  double mBytes;
  Core::TimePoint mRefilledAt{};
};

} // namespace Ownership
