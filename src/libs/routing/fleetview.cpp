#include "routing/fleetview.h"

#include <algorithm>

namespace Routing {

namespace {

HomeSelector
createHomeSelector(const Config::Service& aService)
{
  std::vector<Config::Identity> identities;
  identities.reserve(aService.targets.size());
  for (const auto& target : aService.targets) {
    identities.push_back(target.identity);
  }
  return HomeSelector(identities);
}

std::uint64_t
endpointKey(const Core::Endpoint& aEndpoint)
{
  constexpr unsigned kPortBits = 16;
  return (static_cast<std::uint64_t>(aEndpoint.address) << kPortBits) |
         aEndpoint.port;
}

} // namespace

std::optional<std::uint32_t>
ServiceView::indexOf(Config::Identity aTarget) const
{
  for (std::uint32_t i = 0; i < targets.size(); ++i) {
    if (targets[i].target->identity == aTarget) {
      return i;
    }
  }
  return std::nullopt;
}

FleetView::FleetView(std::shared_ptr<const Config::Document> aDocument,
                     const Config::InstanceList& aInstances)
  : mDocument(std::move(aDocument))
{
  absl::flat_hash_map<std::string, const Config::Instance*> instancesByName;
  for (const auto& instance : aInstances.instances) {
    if (instance.role == Config::InstanceRole::Target) {
      instancesByName.emplace(instance.name, &instance);
    } else {
      mBalancerZones.emplace(endpointKey(instance.data), instance.zone);
    }
  }
  mServices.reserve(mDocument->services.size());
  for (const auto& service : mDocument->services) {
    addService(service, instancesByName);
  }
}

void
FleetView::addService(
  const Config::Service& aService,
  const absl::flat_hash_map<std::string, const Config::Instance*>&
    aInstancesByName)
{
  const auto serviceIndex = static_cast<std::uint32_t>(mServices.size());
  ServiceView view{ &aService, createHomeSelector(aService), {}, false };
  for (std::uint32_t i = 0; i < aService.targets.size(); ++i) {
    const auto& target = aService.targets[i];
    TargetEntry entry{
      &target, {}, target.draining, mDocument->isZoneEvacuated(target.zone)
    };
    if (const auto it = aInstancesByName.find(target.name);
        it != aInstancesByName.end()) {
      entry.endpoint = it->second->data;
      entry.leaving = target.draining || it->second->leaving;
    }
    view.targets.push_back(entry);
    mTargetIndex[target.identity] = { serviceIndex, i };
  }
  view.isEvacuated =
    !view.targets.empty() &&
    std::all_of(view.targets.begin(),
                view.targets.end(),
                [](const auto& aEntry) { return aEntry.isZoneEvacuated; });
  for (std::uint32_t i = 0; i < aService.classes.size(); ++i) {
    const auto& serviceClass = aService.classes[i];
    const AddressKey key{ { aService.address, serviceClass.port },
                          serviceClass.protocol };
    mClassIndex[key] = { serviceIndex, i };
  }
  mServiceIndex[aService.identity] = serviceIndex;
  mServices.push_back(std::move(view));
}

ClassView
FleetView::findClass(const Core::Endpoint& aAddress,
                     Packet::Protocol aProtocol) const
{
  const auto it = mClassIndex.find(AddressKey{ aAddress, aProtocol });
  if (it == mClassIndex.end()) {
    return {};
  }
  const auto& view = mServices[it->second.service];
  return { &view, &view.service->classes[it->second.index] };
}

const ServiceView*
FleetView::findService(Config::Identity aService) const
{
  const auto it = mServiceIndex.find(aService);
  return it == mServiceIndex.end() ? nullptr : &mServices[it->second];
}

const ServiceView*
FleetView::serviceOfTarget(Config::Identity aTarget) const
{
  const auto it = mTargetIndex.find(aTarget);
  return it == mTargetIndex.end() ? nullptr : &mServices[it->second.service];
}

const TargetEntry*
FleetView::findTarget(Config::Identity aTarget) const
{
  const auto it = mTargetIndex.find(aTarget);
  if (it == mTargetIndex.end()) {
    return nullptr;
  }
  return &mServices[it->second.service].targets[it->second.index];
}

absl::string_view
FleetView::zoneOfBalancer(const Core::Endpoint& aEndpoint) const
{
  const auto it = mBalancerZones.find(endpointKey(aEndpoint));
  return it == mBalancerZones.end() ? absl::string_view() : it->second;
}

} // namespace Routing
