#include "steering/fleetmapbuilder.h"

#include <algorithm>
#include <utility>

namespace Steering {

FleetMapBuilder&
FleetMapBuilder::version(std::uint64_t aVersion)
{
  mMap->mVersion = aVersion;
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::revision(std::uint64_t aRevision)
{
  mMap->mRevision = aRevision;
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::route(RouteDeclaration aRoute)
{
  auto route = std::move(aRoute.route);
  for (const auto& share : aRoute.shares) {
    route.shares.push_back({ serviceIndex(share.service), share.weight });
  }
  mMap->mRoutes[endpointKey(aRoute.address)] = std::move(route);
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::target(absl::string_view aService, Target aTarget)
{
  const auto service = serviceIndex(aService);
  const auto key = endpointKey(aTarget.agent);
  const auto it = mMap->mTargets.find(key);
  if (it == mMap->mTargets.end()) {
    auto& targets = mMap->mServices[service].targets;
    mMap->mTargets[key] = { service, targets.size() };
    targets.push_back(std::move(aTarget));
    return *this;
  }
  // Two targets announce the same address. The one that started later is the
  // current owner of the address.
  const auto [knownService, knownIndex] = it->second;
  auto& targets = mMap->mServices[knownService].targets;
  if (aTarget.startedAt <= targets[knownIndex].startedAt) {
    return *this;
  }
  if (knownService == service) {
    targets[knownIndex] = std::move(aTarget);
    return *this;
  }
  removeTarget(knownService, knownIndex);
  return target(aService, std::move(aTarget));
}

FleetMapBuilder&
FleetMapBuilder::keepRemovedTargets(const FleetMap& aPrevious,
                                    Core::TimePoint aNow)
{
  for (const auto& service : aPrevious.services()) {
    for (auto kept : service.targets) {
      if (!kept.isRemoved()) {
        kept.removedAt = aNow;
      }
      const bool isExpired = aNow - kept.removedAt > kRemovedTargetRetention;
      if (!isExpired && !hasTarget(kept.agent)) {
        target(service.name, std::move(kept));
      }
    }
  }
  return *this;
}

void
FleetMapBuilder::removeTarget(std::size_t aService, std::size_t aIndex)
{
  auto& targets = mMap->mServices[aService].targets;
  mMap->mTargets.erase(endpointKey(targets[aIndex].agent));
  targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(aIndex));
  for (std::size_t i = aIndex; i < targets.size(); ++i) {
    mMap->mTargets[endpointKey(targets[i].agent)] = { aService, i };
  }
}

bool
FleetMapBuilder::hasTarget(const Core::Endpoint& aAgent) const
{
  return mMap->mTargets.contains(endpointKey(aAgent));
}

FleetMapPointer
FleetMapBuilder::build()
{
  return std::exchange(mMap, std::make_shared<FleetMap>());
}

std::size_t
FleetMapBuilder::serviceIndex(absl::string_view aName)
{
  auto& services = mMap->mServices;
  const auto it =
    std::find_if(services.begin(), services.end(), [aName](const auto& aEntry) {
      return aEntry.name == aName;
    });
  if (it != services.end()) {
    return static_cast<std::size_t>(it - services.begin());
  }
  services.push_back({ std::string(aName), FleetMap::serviceTag(aName), {} });
  return services.size() - 1;
}

} // namespace Steering
