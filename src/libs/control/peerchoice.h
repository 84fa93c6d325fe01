#pragma once

#include "config/instancelist.h"

#include <string>
#include <vector>

namespace Control {

/** Who this process is among the instances. */
struct SelfPlace
{
  std::string name;
  std::string zone;
};

/**
 * True for the few processes of a zone that read the configuration service.
 * Each process decides alone from its list; lists that differ make a few more
 * or fewer readers for a while, which does no harm.
 */
bool
isServiceReader(const Config::InstanceList& aList, const SelfPlace& aSelf);

/**
 * The peers whose view this process asks for: three of its own zone, and for
 * readers one of each other zone. Every process has another choice, so that
 * the whole is a random graph.
 */
std::vector<Config::Instance>
choosePeers(const Config::InstanceList& aList, const SelfPlace& aSelf);

} // namespace Control
