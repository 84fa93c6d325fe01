#include "world/fleetbuilder.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace World {

namespace {

std::uint32_t
numberOf(const std::string& aName)
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
             const FleetShape& aShape)
{
  constexpr std::chrono::minutes kIdle{ 10 };
  Config::ServiceClass value;
  value.name = aName;
  value.port = aPort;
  value.protocol = aProtocol;
  value.idempotent = aIsIdempotent;
  value.waitLimit = aShape.waitLimit;
  value.idleTimeout = kIdle;
  return value;
}

std::vector<Config::ServiceClass>
classes(const FleetShape& aShape)
{
  using Packet::Protocol;
  std::vector<Config::ServiceClass> list{
    serviceClass("tcp", kTcpPort, Protocol::Tcp, false, aShape),
    serviceClass("once", kOncePort, Protocol::Udp, false, aShape),
    serviceClass("udp", kUdpPort, Protocol::Udp, true, aShape),
    serviceClass("stream", kStreamPort, Protocol::Tcp, true, aShape),
  };
  list.back().resource = Config::Resource::Connection;
  return list;
}

Config::Target
target(const std::string& aName, const FleetShape& aShape)
{
  Config::Target value;
  value.name = aName;
  value.identity = Config::identityOf(aName);
  value.zone = zoneOf(aName, aShape.zones);
  value.slots = aShape.slots;
  value.connections = aShape.connections;
  value.draining = aShape.draining.contains(aName);
  return value;
}

Config::Instance
instance(const std::string& aName,
         Config::InstanceRole aRole,
         const FleetShape& aShape)
{
  Config::Instance value;
  value.name = aName;
  value.role = aRole;
  value.zone = zoneOf(aName, aShape.zones);
  value.data = endpointOf(aName);
  return value;
}

} // namespace

Core::Endpoint
endpointOf(const std::string& aName)
{
  constexpr std::uint32_t kTargets = 0x7f480000;
  constexpr std::uint32_t kBalancers = 0x7f470000;
  constexpr std::uint16_t kDataPort = 7000;
  const auto base = aName.front() == 'b' ? kBalancers : kTargets;
  return { base + numberOf(aName), kDataPort };
}

std::string
zoneOf(const std::string& aName, std::size_t aZones)
{
  return absl::StrCat("z", 1 + (numberOf(aName) - 1) % aZones);
}

Routing::FleetViewPointer
buildView(const FleetShape& aShape)
{
  auto document = std::make_shared<Config::Document>();
  document->revision = aShape.revision;
  document->digest = absl::StrCat("digest-", aShape.revision);
  document->replayWindow = aShape.replayWindow;
  document->slowStart = aShape.slowStart;
  Config::Member member;
  member.name = "guild";
  member.address = 0x0a010000;
  member.prefixLength = 16;
  member.slotShare = aShape.memberShare;
  document->members.push_back(member);
  Config::Service service;
  service.name = "kazi";
  service.identity = Config::identityOf(service.name);
  service.address = kServiceAddress;
  service.zonePreference = aShape.zonePreference;
  service.classes = classes(aShape);
  Config::InstanceList list;
  for (const auto& name : aShape.targets) {
    service.targets.push_back(target(name, aShape));
    list.instances.push_back(
      instance(name, Config::InstanceRole::Target, aShape));
  }
  for (std::size_t i = 1; i <= aShape.balancers; ++i) {
    list.instances.push_back(
      instance(absl::StrCat("b", i), Config::InstanceRole::Balancer, aShape));
  }
  Config::Service other = service;
  other.name = "picha";
  other.identity = Config::identityOf(other.name);
  other.address = kOtherServiceAddress;
  other.targets.clear();
  document->services = { service, other };
  return std::make_shared<Routing::FleetView>(document, list);
}

} // namespace World
