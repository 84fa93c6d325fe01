#include "steering/fleetmapbuilder.h"

#include "steering/routehistory.h"

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
FleetMapBuilder::revision(const MapRevision& aRevision)
{
  mMap->mRevision = aRevision;
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::idleTimeout(std::chrono::milliseconds aIdleTimeout)
{
  mMap->mIdleTimeout = aIdleTimeout;
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::route(RouteDeclaration aRoute)
{
  auto route = std::move(aRoute.route);
  for (const auto& share : aRoute.shares) {
    route.shares.push_back({ findOrAddService(share.service), share.weight });
  }
  mMap->mRoutes[endpointKey(aRoute.address)] = std::move(route);
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::routeHistory(const RouteHistory& aHistory)
{
  mMap->mHistoryStart = aHistory.span().firstRevision;
  mMap->mHistoryIncompleteUntil = aHistory.incompleteUntil();
  for (const auto& [key, removedAt] : aHistory.formerServices()) {
    const auto it = mMap->mRoutes.find(endpointKey(key.route));
    if (it == mMap->mRoutes.end()) {
      continue;
    }
    auto& route = it->second;
    const auto service = findOrAddService(key.service);
    // The service may have a share again.
    if (!route.hasShare(service)) {
      route.formerServices.push_back(
        { service, removedAt + RouteHistory::kRetention });
    }
  }
  return *this;
}

FleetMapBuilder&
FleetMapBuilder::target(absl::string_view aService, Target aTarget)
{
  const auto service = findOrAddService(aService);
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
  const auto [existingService, existingIndex] = it->second;
  auto& targets = mMap->mServices[existingService].targets;
  if (aTarget.startedAt <= targets[existingIndex].startedAt) {
    return *this;
  }
  if (existingService == service) {
    targets[existingIndex] = std::move(aTarget);
    return *this;
  }
  removeTarget(existingService, existingIndex);
  return target(aService, std::move(aTarget));
}

FleetMapBuilder&
FleetMapBuilder::keepRemovedTargets(const FleetMap& aPrevious,
                                    Core::TimePoint aNow)
{
  for (const auto& service : aPrevious.services()) {
    for (auto previousTarget : service.targets) {
      if (!previousTarget.isRemoved()) {
        previousTarget.removedAt = aNow;
      }
      const bool isExpired =
        aNow - previousTarget.removedAt > kRemovedTargetRetention;
      if (!isExpired && previousTarget.isServiceNamed &&
          !hasTarget(previousTarget.agent)) {
        target(service.name, std::move(previousTarget));
      }
    }
  }
  return *this;
}

void
FleetMapBuilder::removeTarget(std::size_t aServiceIndex,
                              std::size_t aTargetIndex)
{
  auto& targets = mMap->mServices[aServiceIndex].targets;
  mMap->mTargets.erase(endpointKey(targets[aTargetIndex].agent));
  targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(aTargetIndex));
  for (std::size_t i = aTargetIndex; i < targets.size(); ++i) {
    mMap->mTargets[endpointKey(targets[i].agent)] = { aServiceIndex, i };
  }
}

bool
FleetMapBuilder::hasTarget(const Core::Endpoint& aAgent) const
{
  return mMap->mTargets.contains(endpointKey(aAgent));
}

FleetMapBuilder&
FleetMapBuilder::evacuateZone(absl::string_view aZone,
                              const MapRevision& aSince)
{
  mMap->mEvacuatedZones.push_back({ std::string(aZone), aSince });
  return *this;
}

bool
FleetMapBuilder::hasTargetIn(absl::string_view aZone) const
{
  const auto& services = mMap->mServices;
  return std::any_of(
    services.begin(), services.end(), [aZone](const Service& aService) {
      return std::any_of(
        aService.targets.begin(),
        aService.targets.end(),
        [aZone](const Target& aTarget) { return aTarget.zone == aZone; });
    });
}

void
FleetMapBuilder::markEvacuatedTargets()
{
  std::erase_if(mMap->mEvacuatedZones, [this](const EvacuatedZone& aEntry) {
    return !hasTargetIn(aEntry.zone);
  });
  for (auto& service : mMap->mServices) {
    for (auto& target : service.targets) {
      // A removed target was copied from a map with other evacuated zones.
      target.isZoneEvacuated = mMap->findEvacuatedZone(target.zone) != nullptr;
    }
  }
}

FleetMapPointer
FleetMapBuilder::build()
{
  markEvacuatedTargets();
  for (const auto& [address, route] : mMap->mRoutes) {
    for (const auto& share : route.shares) {
      auto& service = mMap->mServices[share.service];
      service.mostUrgent = std::min(service.mostUrgent, route.priority);
      service.leastUrgent = std::max(service.leastUrgent, route.priority);
    }
  }
  return std::exchange(mMap, std::make_shared<FleetMap>());
}

std::size_t
FleetMapBuilder::findOrAddService(absl::string_view aName)
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
