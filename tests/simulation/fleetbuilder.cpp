#include "simulation/fleetbuilder.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace Simulation {

namespace {

std::uint32_t
instanceNumber(const std::string& aName)
{
  std::uint32_t number = 0;
  static_cast<void>(absl::SimpleAtoi(aName.substr(1), &number));
  return number;
}

Config::ServiceClass
serviceClass(const std::string& aName,
             std::uint16_t aPort,
             Packet::Protocol aProtocol,
             bool aIsIdempotent,
             const FleetSettings& aSettings)
{
  constexpr std::chrono::minutes kIdleTimeout{ 10 };
  Config::ServiceClass value;
  value.name = aName;
  value.port = aPort;
  value.protocol = aProtocol;
  value.idempotent = aIsIdempotent;
  value.waitLimit = aSettings.waitLimit;
  value.idleTimeout = kIdleTimeout;
  return value;
}

std::vector<Config::ServiceClass>
classes(const FleetSettings& aSettings)
{
  using Packet::Protocol;
  std::vector<Config::ServiceClass> list{
    serviceClass("tcp", kTcpPort, Protocol::Tcp, false, aSettings),
    serviceClass("once", kOncePort, Protocol::Udp, false, aSettings),
    serviceClass("udp", kUdpPort, Protocol::Udp, true, aSettings),
    serviceClass("stream", kStreamPort, Protocol::Tcp, true, aSettings),
  };
  list.back().resource = Config::Resource::Connection;
  return list;
}

Config::Target
target(const std::string& aName, const FleetSettings& aSettings)
{
  Config::Target value;
  value.name = aName;
  value.identity = Config::identityOf(aName);
  value.zone = zoneName(aName, aSettings.zones);
  value.slots = aSettings.slots;
  value.connections = aSettings.connections;
  value.draining = aSettings.draining.contains(aName);
  return value;
}

Config::Instance
instance(const std::string& aName,
         Config::InstanceRole aRole,
         const FleetSettings& aSettings)
{
  Config::Instance value;
  value.name = aName;
  value.role = aRole;
  value.zone = zoneName(aName, aSettings.zones);
  value.data = dataEndpoint(aName);
  return value;
}

} // namespace

Core::Endpoint
dataEndpoint(const std::string& aName)
{
  constexpr std::uint32_t kTargetBaseAddress = 0x7f480000;
  constexpr std::uint32_t kBalancerBaseAddress = 0x7f470000;
  constexpr std::uint16_t kDataPort = 7000;
  const auto baseAddress =
    aName.front() == 'b' ? kBalancerBaseAddress : kTargetBaseAddress;
  return { baseAddress + instanceNumber(aName), kDataPort };
}

std::string
zoneName(const std::string& aName, std::size_t aZoneCount)
{
  return absl::StrCat("z", 1 + (instanceNumber(aName) - 1) % aZoneCount);
}

Routing::FleetViewPointer
buildView(const FleetSettings& aSettings)
{
  auto document = std::make_shared<Config::Document>();
  document->revision = aSettings.revision;
  document->digest = absl::StrCat("digest-", aSettings.revision);
  document->replayWindow = aSettings.replayWindow;
  document->slowStart = aSettings.slowStart;
  Config::Member member;
  member.name = "guild";
  member.address = 0x0a010000;
  member.prefixLength = 16;
  member.slotShare = aSettings.memberShare;
  document->members.push_back(member);
  Config::Service service;
  service.name = "kazi";
  service.identity = Config::identityOf(service.name);
  service.address = kServiceAddress;
  service.zonePreference = aSettings.zonePreference;
  service.classes = classes(aSettings);
  Config::InstanceList list;
  for (const auto& name : aSettings.targets) {
    service.targets.push_back(target(name, aSettings));
    list.instances.push_back(
      instance(name, Config::InstanceRole::Target, aSettings));
  }
  for (std::size_t i = 1; i <= aSettings.balancers; ++i) {
    list.instances.push_back(instance(
      absl::StrCat("b", i), Config::InstanceRole::Balancer, aSettings));
  }
  Config::Service other = service;
  other.name = "picha";
  other.identity = Config::identityOf(other.name);
  other.address = kOtherServiceAddress;
  other.targets.clear();
  document->services = { service, other };
  return std::make_shared<Routing::FleetView>(document, list);
}

} // namespace Simulation
