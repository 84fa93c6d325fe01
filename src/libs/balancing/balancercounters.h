#pragma once

#include "telemetry/counterset.h"

#include <string>

namespace Balancing {

/** What a balancer counts; see docs/operators/metrics.md. */
enum class BalancerCounter
{
  PacketsReceived,
  PacketsForwarded,
  PacketsMalformed,
  PacketsWithoutService,
  PacketsWithoutTarget,
  OwnerCacheHits,
  HomesSkipped,
  OwnerNotices,
  Count,
};

using BalancerCounters = Telemetry::CounterSet<BalancerCounter>;

std::string
nameOf(BalancerCounter aCounter);

} // namespace Balancing
