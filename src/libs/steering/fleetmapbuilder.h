#pragma once

#include "steering/fleetmap.h"

#include <absl/strings/string_view.h>

namespace Steering {

class RouteHistory;

/** A route as configured, with services given by name. */
struct RouteDeclaration
{
  struct Share
  {
    std::string service;
    std::uint32_t weight = 1;
  };

  Core::Endpoint address;
  Route route;
  std::vector<Share> shares;
};

/** Builds a FleetMap. */
class FleetMapBuilder
{
public:
  /**
   * How long a target stays in the map after the platform stopped announcing
   * it. No flow is older than a minute on the supported platforms.
   */
  static constexpr std::chrono::seconds kRemovedTargetRetention{ 60 };

  FleetMapBuilder& version(std::uint64_t aVersion);
  FleetMapBuilder& revision(const MapRevision& aRevision);
  FleetMapBuilder& idleTimeout(std::chrono::milliseconds aIdleTimeout);
  FleetMapBuilder& route(RouteDeclaration aRoute);
  FleetMapBuilder& target(absl::string_view aService, Target aTarget);
  /** Adds the former services of the routes that were added so far. */
  FleetMapBuilder& routeHistory(const RouteHistory& aHistory);
  /** Adds the targets of the previous map that are no longer announced. */
  FleetMapBuilder& keepRemovedTargets(const FleetMap& aPrevious,
                                      Core::TimePoint aNow);

  /**
   * Takes a zone out of service. It also applies to targets that are added
   * later, and has no effect if no target is in the zone.
   */
  FleetMapBuilder& evacuateZone(absl::string_view aZone,
                                const MapRevision& aSince);
  /** Whether a target with this agent was added so far. */
  bool hasTarget(const Core::Endpoint& aAgent) const;
  /** Whether a target that was added so far is in the zone. */
  bool hasTargetIn(absl::string_view aZone) const;

  FleetMapPointer build();

private:
  /** Returns the index of the service. */
  std::size_t findOrAddService(absl::string_view aName);
  void removeTarget(std::size_t aServiceIndex, std::size_t aTargetIndex);
  void markEvacuatedTargets();

  std::shared_ptr<FleetMap> mMap = std::make_shared<FleetMap>();
};

} // namespace Steering
