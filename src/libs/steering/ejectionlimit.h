#pragma once

#include "core/clock.h"

namespace Steering {

class AgentLoadTable;
struct Service;

/**
 * Whether balancers must ignore that backend servers of the service are
 * ejected: they have more than half of its slots. Then it is more likely that
 * requests of some callers fail everywhere, and the other servers could not
 * bear the load. Servers that are down stay excluded.
 */
bool
isEjectionLimitExceeded(const Service& aService,
                        const AgentLoadTable& aLoads,
                        Core::TimePoint aNow);

} // namespace Steering
