#pragma once

#include "core/clock.h"
#include "core/endpoint.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Steering {

/** What a target may still get. */
enum class TargetState : std::uint8_t
{
  /** New flows. */
  Accepting,
  /** No new flows; it finishes those that it has. */
  Draining,
};

/** A backend server and the agent beside it. */
struct Target
{
  /** Data endpoint of the agent; identifies the target among balancers. */
  Core::Endpoint agent;
  /** As announced; for logs. */
  std::string name;
  std::string zone;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Accepting;
  /** It is slower than usual before. */
  Core::TimePoint warmUntil{};
  /** Unix time of its start; 0 when not told. */
  std::chrono::milliseconds startedAt{ 0 };
  /**
   * When it was first missing from what is announced; null for never. It may
   * still hold flows, and gets packets of flows that nobody else holds.
   */
  Core::TimePoint departedAt{};

  /**
   * A target that vanished without a drain takes new flows for so long, since
   * announcements may lapse by mistake; it has two seconds to come back.
   */
  static constexpr std::chrono::milliseconds kLapseTolerance{ 2'000 };

  bool isDeparted() const { return departedAt != Core::TimePoint{}; }
  bool takesNewFlows(Core::TimePoint aNow) const
  {
    return state == TargetState::Accepting &&
           (!isDeparted() || aNow - departedAt < kLapseTolerance);
  }
};

/** The targets of one service. */
struct Service
{
  std::string name;
  /** Tells services apart in messages; see FleetMap::serviceTag(). */
  std::uint32_t tag = 0;
  std::vector<Target> targets;
};

/** What the requests of a route are like. */
enum class FlowHabit : std::uint8_t
{
  /** A flow carries one request. */
  OneRequest,
  /** A flow stays open for many requests. */
  ManyRequests,
};

/** One service of a route, by its index in the map. */
struct RouteShare
{
  std::size_t service = 0;
  std::uint32_t weight = 1;
};

/** An address and port that callers use. */
struct Route
{
  std::string name;
  /** New flows are spread over these by weight; never empty. */
  std::vector<RouteShare> shares;
  FlowHabit habit = FlowHabit::OneRequest;
  /** Answers that come later are worth less. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Callers give up after this. */
  std::chrono::milliseconds timeout{ 0 };
};

/**
 * What a balancer acts on: routes, services and their targets at one revision
 * of what the platform publishes. It never changes; a new one replaces it.
 */
class FleetMap
{
public:
  /** Version of the configuration in it. */
  std::uint64_t version() const { return mVersion; }
  /** Grows with each change of configuration or targets. */
  std::uint64_t revision() const { return mRevision; }
  const std::vector<Service>& services() const { return mServices; }
  /** Null when no route has the address. */
  const Route* findRoute(const Core::Endpoint& aAddress) const;
  std::size_t routeCount() const { return mRoutes.size(); }
  /** Null when no target stands beside the agent. */
  const Target* findTarget(const Core::Endpoint& aAgent) const;
  /** The service of an agent that findTarget() knows. */
  const Service& serviceOf(const Core::Endpoint& aAgent) const;
  /** True when the agent stands beside a target of the route's services. */
  bool serves(const Route& aRoute, const Core::Endpoint& aAgent) const;
  std::size_t acceptingCount() const;

  /** 32 bits of a hash of the service's name; the same in every process. */
  static std::uint32_t serviceTag(absl::string_view aName);

private:
  friend class FleetMapBuilder;

  std::uint64_t mVersion = 0;
  std::uint64_t mRevision = 0;
  std::vector<Service> mServices;
  absl::flat_hash_map<std::uint64_t, Route> mRoutes;
  /** Service and target indexes by agent. */
  absl::flat_hash_map<std::uint64_t, std::pair<std::size_t, std::size_t>>
    mTargets;
};

using FleetMapPointer = std::shared_ptr<const FleetMap>;

/** Address and port in one number, to be used as a key. */
inline std::uint64_t
endpointKey(const Core::Endpoint& aEndpoint)
{
  return (static_cast<std::uint64_t>(aEndpoint.address) << 16U) |
         aEndpoint.port;
}

} // namespace Steering
