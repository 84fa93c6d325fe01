#pragma once

#include "steering/agentloadtable.h"
#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/loadforecast.h"

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/** A target considered for a new flow. */
struct Candidate
{
  const Target* target = nullptr;
  const LoadEstimate* load = nullptr;
  bool isLocalZone = false;
  bool isSlowStartOver = true;
  /**
   * Requests that the cold target may still take; std::nullopt if they are not
   * limited.
   */
  std::optional<std::uint32_t> slowStartBudget;
};

/**
 * Selects the target for a new flow; null if there is no candidate. A flow with
 * one request goes to the target with the shortest expected time to the answer.
 * A long-lived flow goes to the target with the least long-lived flows per slot
 * and speed, since its future requests matter more than the present ones. A
 * target in another zone is selected only if it is better by more than the cost
 * of the network latency between zones. aFlowHash decides between targets that
 * are nearly equal.
 */
const Candidate*
selectTarget(absl::Span<const Candidate> aCandidates,
             FlowType aFlowType,
             std::uint64_t aFlowHash,
             const LoadForecast& aForecast = {});

/**
 * Selects the target for a new flow that is on time: one of the shortlist, or
 * of all candidates if none of the shortlist has a free slot. Null if no
 * candidate is expected to have a free slot within aMaxQueueTime.
 */
const Candidate*
selectOnTimeTarget(absl::Span<const Candidate> aCandidates,
                   const Route& aRoute,
                   std::uint64_t aFlowHash,
                   const LoadForecast& aForecast,
                   std::chrono::milliseconds aMaxQueueTime);

/**
 * Returns the candidates that a new flow should go to while they have capacity,
 * so that other balancers find its owner quickly in a large service. They are
 * the first kShortlistSize candidates in rendezvous order of the local zone,
 * and as many of the other zones. Every balancer of the zone computes the same
 * shortlist without coordination.
 */
std::vector<Candidate>
shortlist(absl::Span<const Candidate> aCandidates, std::uint64_t aFlowHash);

/**
 * Targets on the shortlist from the local zone, and from the other zones. The
 * least loaded of four is nearly as good as the least loaded of all, and a
 * search queries four agents instead of dozens.
 */
constexpr std::size_t kShortlistSize = 4;

/**
 * Selects the target for a new flow that is already late, which happens under
 * overload: the one with the shortest queue in time, late requests included.
 * Null if there is no candidate.
 */
const Candidate*
selectForLateFlow(absl::Span<const Candidate> aCandidates,
                  const LoadForecast& aForecast = {});

/** Whether a target has a slot for a new request at once. */
bool
hasFreeTarget(absl::Span<const Candidate> aCandidates);

/**
 * Selects a cold target with a limited slow start for a new flow, in proportion
 * to the targets' budgets, so that balancers that choose at the same time do
 * not all select the same one. Targets without a free slot or budget are not
 * selected, and those of other zones only if the local zone has none. Null if
 * there is no such target.
 */
const Candidate*
selectByBudget(absl::Span<const Candidate> aCandidates,
               std::uint64_t aFlowHash);

/** Estimates the time that a new request would wait for a slot. */
std::chrono::milliseconds
expectedQueueTime(const Candidate& aCandidate,
                  const LoadForecast& aForecast = {});

/**
 * All targets that may own a flow of the route, in the order in which the owner
 * is searched: the shortlist of the local zone, the shortlist of the other
 * zones, the rest of the local zone, the rest of the other zones, each in
 * rendezvous order. Removed targets come after them, those that are unlikely to
 * own the flow last. A service that the route no longer names does not change
 * the order at first, since owner hints follow it. All balancers of a zone with
 * the same map compute the same order. aIsMapOutdated: another balancer has a
 * newer map, so that any target may own the flow.
 */
std::vector<const Target*>
searchOrder(const FleetMap& aMap,
            const Route& aRoute,
            absl::string_view aZone,
            std::uint64_t aFlowHash,
            Core::TimePoint aNow,
            bool aIsMapOutdated = false);

/** The rendezvous hashing weight of a target for a flow. */
std::uint64_t
rendezvousWeight(const Target& aTarget, std::uint64_t aFlowHash);

/** Selects the service of a new flow by the weights of the route's services. */
std::size_t
selectService(const Route& aRoute, std::uint64_t aFlowHash);

} // namespace Steering
