#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Steering {

/**
 * How long a new request waits for a slot, when aInProgress requests hold or
 * await one of aSlots and each takes about aServiceTime.
 */
inline std::chrono::milliseconds
waitForSlot(std::uint32_t aInProgress,
            std::uint32_t aSlots,
            std::chrono::milliseconds aServiceTime)
{
  const auto slots = std::max<std::uint32_t>(aSlots, 1);
  if (aInProgress < slots) {
    return std::chrono::milliseconds(0);
  }
  return aServiceTime * (aInProgress - slots + 1) / slots;
}

/**
 * How long a new request may have to wait for a slot: a third of its latency
 * objective; the rest is for the way and the work itself.
 */
inline std::chrono::milliseconds
longestWait(std::chrono::milliseconds aLatencyObjective)
{
  constexpr int kQueueShare = 3;
  return aLatencyObjective / kQueueShare;
}

} // namespace Steering
