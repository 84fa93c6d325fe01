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
makeServiceClass(const std::string& aName,
                 std::uint16_t aPort,
                 Packet::Protocol aProtocol,
                 bool aIsIdempotent,
                 const FleetSettings& aSettings)
{
  constexpr std::chrono::minutes kIdleTimeout{ 10 };
  Config::ServiceClass serviceClass;
  serviceClass.name = aName;
  serviceClass.port = aPort;
  serviceClass.protocol = aProtocol;
  serviceClass.idempotent = aIsIdempotent;
  serviceClass.waitLimit = aSettings.waitLimit;
  serviceClass.idleTimeout = kIdleTimeout;
  return serviceClass;
}

std::vector<Config::ServiceClass>
makeServiceClasses(const FleetSettings& aSettings)
{
  using Packet::Protocol;
  std::vector<Config::ServiceClass> classes{
    makeServiceClass("tcp", kTcpPort, Protocol::Tcp, false, aSettings),
    makeServiceClass("once", kOncePort, Protocol::Udp, false, aSettings),
    makeServiceClass("udp", kUdpPort, Protocol::Udp, true, aSettings),
    makeServiceClass("stream", kStreamPort, Protocol::Tcp, true, aSettings),
  };
  classes.back().resource = Config::Resource::Connection;
  return classes;
}

Config::Target
makeTarget(const std::string& aName, const FleetSettings& aSettings)
{
  Config::Target target;
  target.name = aName;
  target.identity = Config::identityOf(aName);
  target.zone = zoneName(aName, aSettings.zoneCount);
  target.slots = aSettings.slots;
  target.connections = aSettings.connections;
  target.draining = aSettings.draining.contains(aName);
  return target;
}

Config::Instance
makeInstance(const std::string& aName,
             Config::InstanceRole aRole,
             const FleetSettings& aSettings)
{
  Config::Instance instance;
  instance.name = aName;
  instance.role = aRole;
  instance.zone = zoneName(aName, aSettings.zoneCount);
  instance.data = dataEndpoint(aName);
  return instance;
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
  for (const auto& zone : aSettings.evacuatedZones) {
    document->evacuatedZones.push_back({ zone, aSettings.revision });
  }
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
  service.classes = makeServiceClasses(aSettings);
  Config::InstanceList instanceList;
  for (const auto& name : aSettings.targets) {
    service.targets.push_back(makeTarget(name, aSettings));
    instanceList.instances.push_back(
      makeInstance(name, Config::InstanceRole::Target, aSettings));
  }
  for (std::size_t i = 1; i <= aSettings.balancerCount; ++i) {
    instanceList.instances.push_back(makeInstance(
      absl::StrCat("b", i), Config::InstanceRole::Balancer, aSettings));
  }
  Config::Service otherService = service;
  otherService.name = "picha";
  otherService.identity = Config::identityOf(otherService.name);
  otherService.address = kOtherServiceAddress;
  otherService.targets.clear();
  document->services = { service, otherService };
  return std::make_shared<Routing::FleetView>(document, instanceList);
}

} // namespace Simulation
