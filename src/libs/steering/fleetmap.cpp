#include "steering/fleetmap.h"

#include <algorithm>

namespace Steering {

bool
Route::hasShare(std::size_t aService) const
{
  return std::any_of(
    shares.begin(), shares.end(), [aService](const RouteShare& aShare) {
      return aShare.service == aService;
    });
}

const Route*
FleetMap::findRoute(const Core::Endpoint& aAddress) const
{
  const auto it = mRoutes.find(endpointKey(aAddress));
  return it == mRoutes.end() ? nullptr : &it->second;
}

const Target*
FleetMap::findTarget(const Core::Endpoint& aAgent) const
{
  const auto it = mTargets.find(endpointKey(aAgent));
  if (it == mTargets.end()) {
    return nullptr;
  }
  return &mServices[it->second.first].targets[it->second.second];
}

const Service&
FleetMap::serviceOf(const Core::Endpoint& aAgent) const
{
  return mServices[mTargets.at(endpointKey(aAgent)).first];
}

bool
FleetMap::serves(const Route& aRoute, const Core::Endpoint& aAgent) const
{
  const auto it = mTargets.find(endpointKey(aAgent));
  return it != mTargets.end() && aRoute.hasShare(it->second.first);
}

OwnerChance
FleetMap::ownerChance(const Route& aRoute,
                      const Core::Endpoint& aAgent,
                      Core::TimePoint aNow) const
{
  const auto it = mTargets.find(endpointKey(aAgent));
  if (it == mTargets.end()) {
    return OwnerChance::None;
  }
  const auto serviceIndex = it->second.first;
  const bool isFormerService = std::any_of(
    aRoute.formerServices.begin(),
    aRoute.formerServices.end(),
    [&](const FormerService& aFormer) {
      return aFormer.service == serviceIndex && aNow < aFormer.until;
    });
  if (isFormerService || aRoute.hasShare(serviceIndex)) {
    return OwnerChance::Possible;
  }
  // A target that started later never served an unknown configuration.
  const auto& target = mServices[serviceIndex].targets[it->second.second];
  const auto& announcedAt = target.announcedAt;
  const bool isNewer = target.isStartObserved &&
                       announcedAt.era == mHistoryStart.era &&
                       announcedAt.change > mHistoryStart.change;
  return isRouteHistoryComplete(aNow) || isNewer ? OwnerChance::None
                                                 : OwnerChance::Unlikely;
}

const EvacuatedZone*
FleetMap::findEvacuatedZone(absl::string_view aZone) const
{
  const auto it = std::find_if(
    mEvacuatedZones.begin(),
    mEvacuatedZones.end(),
    [aZone](const EvacuatedZone& aEntry) { return aEntry.zone == aZone; });
  return it == mEvacuatedZones.end() ? nullptr : &*it;
}

std::size_t
FleetMap::acceptingCount() const
{
  std::size_t count = 0;
  for (const auto& service : mServices) {
    for (const auto& target : service.targets) {
      const bool canAccept = target.state == TargetState::Accepting &&
                             !target.isZoneEvacuated && !target.isRemoved();
      count += canAccept ? 1 : 0;
    }
  }
  return count;
}

std::uint32_t
FleetMap::serviceTag(absl::string_view aName)
{
  // FNV-1a, since every process must compute the same value.
  constexpr std::uint32_t kOffset = 2'166'136'261U;
  constexpr std::uint32_t kPrime = 16'777'619U;
  std::uint32_t hash = kOffset;
  for (const char c : aName) {
    hash = (hash ^ static_cast<std::uint8_t>(c)) * kPrime;
  }
  return hash;
}

} // namespace Steering
