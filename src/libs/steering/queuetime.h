#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Steering {

/**
 * Estimates how long a new request waits for a slot: aInProgress requests use
 * or await aSlots slots, and each takes about aServiceTime.
 */
inline std::chrono::milliseconds
estimatedQueueTime(std::uint32_t aInProgress,
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
 * Maximum time that a new request may wait for a slot: a third of its latency
 * objective. The rest is for network latency and the service time.
 */
inline std::chrono::milliseconds
maxQueueTime(std::chrono::milliseconds aLatencyObjective)
{
  constexpr int kQueueTimeDivisor = 3;
  return aLatencyObjective / kQueueTimeDivisor;
}

} // namespace Steering
