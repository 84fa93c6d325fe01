#pragma once

#include "steering/fleetmap.h"

#include <absl/strings/string_view.h>

namespace Steering {

/** A route as configured, with services by name. */
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

/** Puts a FleetMap together. */
class FleetMapBuilder
{
public:
  /**
   * A target that was announced and is not any more is remembered for so
   * long: a flow is not older than a minute on the platforms served.
   */
  static constexpr std::chrono::seconds kDepartedMemory{ 60 };

  FleetMapBuilder& version(std::uint64_t aVersion);
  FleetMapBuilder& revision(std::uint64_t aRevision);
  FleetMapBuilder& route(RouteDeclaration aRoute);
  FleetMapBuilder& target(absl::string_view aService, Target aTarget);
  /** Keeps targets of an earlier map that are not announced any more. */
  FleetMapBuilder& keepDeparted(const FleetMap& aEarlier, Core::TimePoint aNow);

  FleetMapPointer build();

private:
  std::size_t serviceIndex(absl::string_view aName);
  void removeTarget(std::size_t aService, std::size_t aIndex);
  bool isTaken(const Core::Endpoint& aAgent) const;

  std::shared_ptr<FleetMap> mMap = std::make_shared<FleetMap>();
};

} // namespace Steering
