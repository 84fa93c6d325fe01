#pragma once

#include "config/document.h"
#include "config/instancelist.h"
#include "routing/fleetview.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace World {

/** Ports of the classes that every service of a world has. */
constexpr std::uint16_t kTcpPort = 1;
constexpr std::uint16_t kOncePort = 2;
constexpr std::uint16_t kUdpPort = 3;
constexpr std::uint16_t kStreamPort = 4;

/** What a world's fleet is made of; a change makes a new revision. */
struct FleetShape
{
  std::uint64_t revision = 1;
  std::vector<std::string> targets;
  std::set<std::string> draining;
  std::uint32_t slots = 4;
  std::uint32_t connections = 2000;
  std::uint32_t memberShare = 100;
  std::size_t balancers = 3;
  std::size_t zones = 3;
  Config::ZonePreference zonePreference = Config::ZonePreference::Spread;
  std::chrono::milliseconds replayWindow{ 2'000 };
  std::chrono::milliseconds slowStart{ 0 };
  std::chrono::milliseconds waitLimit{ 0 };
};

/** Address of the one service; another one exists beside it. */
constexpr std::uint32_t kServiceAddress = 0xc6336401;
constexpr std::uint32_t kOtherServiceAddress = 0xc6336402;

/** Data endpoint of a target or balancer by its name. */
Core::Endpoint
endpointOf(const std::string& aName);

std::string
zoneOf(const std::string& aName, std::size_t aZones);

Routing::FleetViewPointer
buildView(const FleetShape& aShape);

} // namespace World
