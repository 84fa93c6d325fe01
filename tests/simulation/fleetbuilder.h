#pragma once

#include "config/document.h"
#include "config/instancelist.h"
#include "routing/fleetview.h"

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace Simulation {

// Ports of the classes that each service has.

/** TCP, not idempotent. */
constexpr std::uint16_t kTcpPort = 1;
/** UDP, not idempotent. */
constexpr std::uint16_t kOncePort = 2;
/** UDP, idempotent. */
constexpr std::uint16_t kUdpPort = 3;
/** TCP, idempotent; a flow uses a connection instead of a slot. */
constexpr std::uint16_t kStreamPort = 4;

/** Contents of a fleet's configuration document and instance list. */
struct FleetSettings
{
  std::uint64_t revision = 1;
  std::vector<std::string> targets;
  std::set<std::string> draining;
  std::set<std::string> evacuatedZones;
  /** Per target. */
  std::uint32_t slots = 4;
  /** Per target. */
  std::uint32_t connections = 2000;
  /** Maximum share of the slots that one member may use, in percent. */
  std::uint32_t memberShare = 100;
  std::size_t balancerCount = 3;
  std::size_t zoneCount = 3;
  Config::ZonePreference zonePreference = Config::ZonePreference::Spread;
  std::chrono::milliseconds replayWindow{ 2'000 };
  std::chrono::milliseconds slowStart{ 0 };
  std::chrono::milliseconds waitLimit{ 0 };
};

/** Address of the service under test. The other service has no targets. */
constexpr std::uint32_t kServiceAddress = 0xc6336401;
constexpr std::uint32_t kOtherServiceAddress = 0xc6336402;

/** Data endpoint of the target or balancer aName. */
Core::Endpoint
dataEndpoint(const std::string& aName);

std::string
zoneName(const std::string& aName, std::size_t aZoneCount);

Routing::FleetViewPointer
buildView(const FleetSettings& aSettings);

} // namespace Simulation
