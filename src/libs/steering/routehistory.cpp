#include "steering/routehistory.h"

#include "steering/fleetmapbuilder.h"

#include <algorithm>

namespace Steering {

namespace {

/**
 * Extends aSpan to the start of aOther if no configuration between them is
 * missing. Returns whether it starts earlier than before.
 */
bool
joinSpans(RouteHistory::Span& aSpan, const RouteHistory::Span& aOther)
{
  const bool isConnected = aOther.lastVersion != 0 &&
                           aOther.firstVersion <= aSpan.lastVersion &&
                           aSpan.firstVersion <= aOther.lastVersion;
  const bool isEarlier =
    aOther.firstVersion < aSpan.firstVersion ||
    (aOther.firstVersion == aSpan.firstVersion && aOther.since < aSpan.since);
  if (!isConnected || !isEarlier) {
    return false;
  }
  aSpan.firstVersion = aOther.firstVersion;
  aSpan.firstRevision = aOther.firstRevision;
  aSpan.since = std::min(aSpan.since, aOther.since);
  return true;
}

bool
namesService(const RouteDeclaration& aRoute, const std::string& aService)
{
  return std::any_of(
    aRoute.shares.begin(), aRoute.shares.end(), [&](const auto& aShare) {
      return aShare.service == aService;
    });
}

} // namespace

void
RouteHistory::restart(std::uint64_t aVersion,
                      const MapRevision& aRevision,
                      Core::TimePoint aSince)
{
  mEarlierSpan = mSpan;
  mSpan = { aVersion, aVersion, aRevision, aSince };
}

void
RouteHistory::recordChange(const std::vector<RouteDeclaration>& aBefore,
                           const std::vector<RouteDeclaration>& aAfter,
                           Core::TimePoint aNow)
{
  std::map<Core::Endpoint, const RouteDeclaration*> routes;
  for (const auto& route : aAfter) {
    routes[route.address] = &route;
  }
  for (const auto& before : aBefore) {
    const auto after = routes.find(before.address);
    if (after == routes.end()) {
      continue;
    }
    for (const auto& share : before.shares) {
      if (!namesService(*after->second, share.service)) {
        mFormerServices[{ before.address, share.service }] = aNow;
      }
    }
  }
}

bool
RouteHistory::merge(const RouteHistory& aOther)
{
  bool hasChanged = joinSpans(mSpan, aOther.mSpan);
  if (hasChanged) {
    joinSpans(mSpan, mEarlierSpan);
  }
  for (const auto& [key, removedAt] : aOther.mFormerServices) {
    const auto [it, isNew] = mFormerServices.try_emplace(key, removedAt);
    hasChanged = hasChanged || isNew;
    it->second = std::max(it->second, removedAt);
  }
  return hasChanged;
}

void
RouteHistory::expire(Core::TimePoint aNow)
{
  std::erase_if(mFormerServices, [aNow](const auto& aEntry) {
    return aNow - aEntry.second >= kRetention;
  });
}

} // namespace Steering
