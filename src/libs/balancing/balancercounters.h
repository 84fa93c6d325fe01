#pragma once

#include "telemetry/counterset.h"

#include <string>

namespace Balancing {

/** The counters of a balancer; see docs/operators/metrics.md. */
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

/** Name of a counter on the status page and in metrics. */
std::string
nameOf(BalancerCounter aCounter);

} // namespace Balancing
