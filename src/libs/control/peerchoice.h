#pragma once

#include "config/instancelist.h"

#include <string>
#include <vector>

namespace Control {

/** Name and zone of the instance that this process is. */
struct LocalInstance
{
  std::string name;
  std::string zone;
};

/**
 * Whether this process is one of the few in its zone that read the
 * configuration service. Each process decides this from its own instance list.
 * If the lists differ, a zone has more or fewer readers for a while, which is
 * harmless.
 */
bool
isServiceReader(const Config::InstanceList& aList, const LocalInstance& aSelf);

/**
 * Chooses the peers whose view this process requests: three in its own zone
 * and, for a service reader, one in each other zone. The choice depends on the
 * name of the process, so that the peers of all processes form a random graph.
 */
std::vector<Config::Instance>
choosePeers(const Config::InstanceList& aList, const LocalInstance& aSelf);

} // namespace Control
