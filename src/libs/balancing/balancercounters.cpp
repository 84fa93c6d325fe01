#include "balancing/balancercounters.h"

namespace Balancing {

std::string
nameOf(BalancerCounter aCounter)
{
  switch (aCounter) {
    case BalancerCounter::PacketsReceived:
      return "packets_received";
    case BalancerCounter::PacketsForwarded:
      return "packets_forwarded";
    case BalancerCounter::PacketsMalformed:
      return "packets_malformed";
    case BalancerCounter::PacketsWithoutService:
      return "packets_without_service";
    case BalancerCounter::PacketsWithoutTarget:
      return "packets_without_target";
    case BalancerCounter::OwnerCacheHits:
      return "owner_cache_hits";
    case BalancerCounter::HomesSkipped:
      return "homes_skipped";
    case BalancerCounter::OwnerNotices:
      return "owner_notices";
    case BalancerCounter::Count:
      break;
  }
  return "unknown";
}

} // namespace Balancing
