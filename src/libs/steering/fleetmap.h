#pragma once

#include "steering/maprevision.h"

#include "core/clock.h"
#include "core/endpoint.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace Steering {

/** Whether a target accepts new flows. */
enum class TargetState : std::uint8_t
{
  Accepting,
  /** Accepts no new flows, but finishes the flows that it has. */
  Draining,
};

/** A backend server and the agent that runs beside it. */
struct Target
{
  /** Data endpoint of the agent. Identifies the target in balancers. */
  Core::Endpoint agent;
  /** Name as announced by the platform. Used in logs only. */
  std::string name;
  std::string zone;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Accepting;
  /** End of the slow start. The target is slower than usual until then. */
  Core::TimePoint slowStartUntil{};
  /**
   * Requests that the target may get in any one second of its slow start, from
   * all balancers together; 0 if the number is not limited.
   */
  std::uint16_t slowStartLimit = 0;
  /** Whether the operator has evacuated the target's availability zone. */
  bool isZoneEvacuated = false;
  /** Unix time of the target's start; 0 if unknown. */
  std::chrono::milliseconds startedAt{ 0 };
  /**
   * Revision at which its announcement was created; null if unknown. An
   * announcement that expired is created again while its target lives.
   */
  MapRevision announcedAt;
  /**
   * Whether this process has seen an earlier target at the address, so that
   * this one is not older than its announcement.
   */
  bool isStartObserved = false;
  /**
   * Whether the configuration names its service, or did until lately. If not,
   * the announcement may be of another writer, and the target may not exist.
   */
  bool isServiceNamed = true;
  /**
   * When the platform was first seen to no longer announce the target; null
   * while it is announced. A removed target may still own flows, so it gets
   * packets of flows that no other target owns.
   */
  Core::TimePoint removedAt{};

  /**
   * A target that was removed without draining still gets new flows for this
   * time, since an announcement may expire by mistake. The target has two
   * seconds to be announced again.
   */
  static constexpr std::chrono::milliseconds kRemovalGracePeriod{ 2'000 };

  /**
   * A target that is not announced again within this time is gone if it does
   * not reply either. Living targets are announced again within two seconds.
   */
  static constexpr std::chrono::milliseconds kGoneTime{ 2'500 };

  bool isRemoved() const { return removedAt != Core::TimePoint{}; }
  bool isGone(Core::TimePoint aNow) const
  {
    return isRemoved() && aNow - removedAt >= kGoneTime;
  }
  bool hasSlowStartLimit(Core::TimePoint aNow) const
  {
    return slowStartLimit > 0 && aNow < slowStartUntil;
  }
  bool acceptsNewFlows(Core::TimePoint aNow) const
  {
    return state == TargetState::Accepting && !isZoneEvacuated &&
           (!isRemoved() || aNow - removedAt < kRemovalGracePeriod);
  }
};

/** A service and its targets. */
struct Service
{
  std::string name;
  /** Identifies the service in messages; see FleetMap::serviceTag(). */
  std::uint32_t tag = 0;
  std::vector<Target> targets;
  /** Range of the priorities of its routes. */
  std::uint8_t mostUrgent = std::numeric_limits<std::uint8_t>::max();
  std::uint8_t leastUrgent = 0;

  /** Whether its routes have different priorities. */
  bool hasPriorities() const { return mostUrgent < leastUrgent; }
};

/** How many requests a flow of a route carries. */
enum class FlowType : std::uint8_t
{
  /** Each flow carries one request. */
  OneRequest,
  /** Flows are long-lived and carry many requests. */
  ManyRequests,
};

/** A service of a route, as an index into FleetMap::services(). */
struct RouteShare
{
  std::size_t service = 0;
  std::uint32_t weight = 1;
};

/** A service that a route named until lately; see RouteHistory. */
struct FormerService
{
  /** Index into FleetMap::services(). */
  std::size_t service = 0;
  /** Its targets may own open flows of the route until then. */
  Core::TimePoint until{};
};

/** Whether a target may own an open flow. */
enum class OwnerChance : std::uint8_t
{
  None,
  /**
   * Only if the route names the target's service in a configuration that is not
   * known. Such a target gets a packet only after all possible owners, and only
   * if its agent does not know whether it owns the flow.
   */
  Unlikely,
  Possible,
};

/** The settings of one service address that callers connect to. */
struct Route
{
  std::string name;
  /** New flows are distributed over these by weight. Never empty. */
  std::vector<RouteShare> shares;
  /** Services without a share that may have open flows of the route. */
  std::vector<FormerService> formerServices;
  FlowType flowType = FlowType::OneRequest;
  /** Callers may repeat a request after any failure. */
  bool isIdempotent = false;
  /** Responses should arrive within this time. Later ones are worth less. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Callers give up after this time. */
  std::chrono::milliseconds timeout{ 0 };
  /** Urgency under overload; 0 is the most urgent. */
  std::uint8_t priority = 0;

  /** aService: index into FleetMap::services(). */
  bool hasShare(std::size_t aService) const;
};

/** An availability zone that the operator has taken out of service. */
struct EvacuatedZone
{
  std::string zone;
  /** Revision at which the operator evacuated it. */
  MapRevision since;
};

/**
 * Routes, services and their targets, decoded from one revision of the data
 * that the platform publishes. Immutable; a newer map replaces it.
 */
class FleetMap
{
public:
  /** Version of the configuration document. */
  std::uint64_t version() const { return mVersion; }
  /** Increases with each change of the configuration or the targets. */
  const MapRevision& revision() const { return mRevision; }
  /** Flows without a packet for this time may be discarded; 0 if unknown. */
  std::chrono::milliseconds idleTimeout() const { return mIdleTimeout; }
  const std::vector<Service>& services() const { return mServices; }
  /** Null if no route has this address. */
  const Route* findRoute(const Core::Endpoint& aAddress) const;
  std::size_t routeCount() const { return mRoutes.size(); }
  /** The routes by endpointKey() of their addresses. */
  const absl::flat_hash_map<std::uint64_t, Route>& routes() const
  {
    return mRoutes;
  }
  /** Null if no target has this agent. */
  const Target* findTarget(const Core::Endpoint& aAgent) const;
  /**
   * The service of the agent's target. The agent must be one that findTarget()
   * finds.
   */
  const Service& serviceOf(const Core::Endpoint& aAgent) const;
  /** Whether the agent's target gets new flows of the route. */
  bool serves(const Route& aRoute, const Core::Endpoint& aAgent) const;
  /** Whether the agent's target may own open flows of the route. */
  OwnerChance ownerChance(const Route& aRoute,
                          const Core::Endpoint& aAgent,
                          Core::TimePoint aNow) const;
  /**
   * Whether each service that the route named during the lifetime of an open
   * flow is known.
   */
  bool isRouteHistoryComplete(Core::TimePoint aNow) const
  {
    return aNow >= mHistoryIncompleteUntil;
  }
  /** The evacuated zones that contain a target. */
  const std::vector<EvacuatedZone>& evacuatedZones() const
  {
    return mEvacuatedZones;
  }
  /** Null if the zone is not evacuated. */
  const EvacuatedZone* findEvacuatedZone(absl::string_view aZone) const;
  /**
   * Number of targets that accept new flows. Removed targets do not count, even
   * during their grace period.
   */
  std::size_t acceptingCount() const;

  /** A 32-bit hash of the service's name that is the same in every process. */
  static std::uint32_t serviceTag(absl::string_view aName);

private:
  friend class FleetMapBuilder;

  std::uint64_t mVersion = 0;
  MapRevision mRevision;
  std::chrono::milliseconds mIdleTimeout{ 0 };
  /** Configurations since this revision are known. */
  MapRevision mHistoryStart;
  Core::TimePoint mHistoryIncompleteUntil{};
  std::vector<Service> mServices;
  std::vector<EvacuatedZone> mEvacuatedZones;
  absl::flat_hash_map<std::uint64_t, Route> mRoutes;
  /** Service index and target index by agent. */
  absl::flat_hash_map<std::uint64_t, std::pair<std::size_t, std::size_t>>
    mTargets;
};

using FleetMapPointer = std::shared_ptr<const FleetMap>;

/** Address and port packed into one integer, for use as a hash key. */
inline std::uint64_t
endpointKey(const Core::Endpoint& aEndpoint)
{
  return (static_cast<std::uint64_t>(aEndpoint.address) << 16U) |
         aEndpoint.port;
}

} // namespace Steering
