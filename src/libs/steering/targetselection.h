#pragma once

#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/loadtable.h"

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Steering {

/** A target that may get a new flow. */
struct Candidate
{
  const Target* target = nullptr;
  const LoadBelief* load = nullptr;
  bool isOwnZone = false;
  bool isWarm = true;
};

/**
 * Answers uneven load: picks the target for a new flow, or null when there is
 * no candidate. A flow of one request goes where the fewest requests wait for
 * a slot; a flow of many requests goes where the fewest such flows are open,
 * since the requests to come count more than those of the moment. The own
 * zone is left when another is better by more than the cost of the way.
 * Equal candidates are told apart by aFlowHash.
 */
const Candidate*
selectTarget(absl::Span<const Candidate> aCandidates,
             FlowHabit aHabit,
             std::uint64_t aFlowHash);

/**
 * Answers the search for a flow's owner in a large service: the candidates
 * that a new flow should go to while they have room. They are the first
 * kShortlistSize of its rendezvous order in the own zone and in the others,
 * which each balancer of the zone knows without a word from the others.
 */
std::vector<Candidate>
shortlist(absl::Span<const Candidate> aCandidates, std::uint64_t aFlowHash);

/**
 * Targets of each zone side on a shortlist. The least loaded of four is near
 * the least loaded of all, while a search asks four in place of dozens.
 */
constexpr std::size_t kShortlistSize = 4;

/**
 * Answers overload: picks the target where a request that is late already
 * waits behind the fewest others; null when there is no candidate.
 */
const Candidate*
selectForLate(absl::Span<const Candidate> aCandidates);

/**
 * Answers overload: the time that a request would wait for a slot, by what
 * the target last reported.
 */
std::chrono::milliseconds
expectedWait(const Candidate& aCandidate);

/**
 * Every target of the services, in the order in which a flow's owner is
 * searched: the shortlist of the own zone, that of the other zones, the rest
 * of the own zone, other zones; each by rendezvous hashing. Departed targets
 * come last. The order is the same at every balancer of a zone with the same
 * map.
 */
std::vector<const Target*>
searchOrder(const FleetMap& aMap,
            const Route& aRoute,
            absl::string_view aZone,
            std::uint64_t aFlowHash);

/** The rendezvous weight of a target for a flow. */
std::uint64_t
rendezvousWeight(const Target& aTarget, std::uint64_t aFlowHash);

/** The service of a new flow, by the weights of the route's shares. */
std::size_t
selectService(const Route& aRoute, std::uint64_t aFlowHash);

} // namespace Steering
