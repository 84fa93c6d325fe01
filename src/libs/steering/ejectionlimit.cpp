#include "steering/ejectionlimit.h"

#include "steering/agentloadtable.h"
#include "steering/fleetmap.h"

#include <algorithm>

namespace Steering {

bool
isEjectionLimitExceeded(const Service& aService,
                        const AgentLoadTable& aLoads,
                        Core::TimePoint aNow)
{
  std::uint64_t slots = 0;
  std::uint64_t ejectedSlots = 0;
  for (const auto& target : aService.targets) {
    if (!target.acceptsNewFlows(aNow)) {
      continue;
    }
    const std::uint64_t targetSlots = std::max<std::uint64_t>(target.slots, 1);
    slots += targetSlots;
    ejectedSlots += aLoads.find(target.agent).isEjected(aNow) ? targetSlots : 0;
  }
  return 2 * ejectedSlots > slots;
}

} // namespace Steering
