#include "flowsimulation/simulatedlink.h"

#include <algorithm>

namespace FlowTesting {

std::optional<Core::TimePoint>
SimulatedLink::transmit(std::size_t aBytes, Core::TimePoint aNow)
{
  const auto bytes = aBytes + kHeaderBytes;
  auto leavesAt = aNow;
  if (mBytesPerSecond > 0) {
    const std::chrono::nanoseconds time(bytes * std::nano::den /
                                        mBytesPerSecond);
    leavesAt = std::max(mFreeAt, aNow) + time;
    if (leavesAt - aNow > kMaxQueueTime) {
      return std::nullopt;
    }
    mFreeAt = leavesAt;
    mPeakTime = std::max(mPeakTime, leavesAt - aNow);
  }
  mByteCount += bytes;
  return leavesAt;
}

} // namespace FlowTesting
