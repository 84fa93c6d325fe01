#include "steering/targetselection.h"

#include "steering/queuetime.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <tuple>
#include <utility>

namespace Steering {

namespace {

/**
 * A long-lived flow goes to another zone if the best local target has more
 * flows per slot than the best remote one by this fraction of the latter's. The
 * value follows from the goal that the busiest target has at most 1.10 times
 * the mean load.
 */
constexpr double kLongLivedFlowZoneMargin = 0.10;
/**
 * A flow with one request goes to another zone if that saves this fraction of
 * the time to answer a request. A round trip between zones takes about ten
 * milliseconds, a sixth of a typical request.
 */
constexpr double kOneRequestZoneMargin = 0.25;
/**
 * Expected times that differ by less than this fraction of the service time
 * count as equal, so that balancers with the same reports choose differently.
 */
constexpr double kEqualTimes = 0.1;
/** Candidates of a typical service that need no memory from the heap. */
constexpr std::size_t kInlinedCandidates = 64;

using Milliseconds = ExpectedLoad::Milliseconds;

double
slotsOf(const Candidate& aCandidate)
{
  return std::max<std::uint32_t>(aCandidate.target->slots, 1);
}

/**
 * The expected time to the answer of a new request. Each request in progress
 * counts as a wait, also while slots are free: by the time the new one arrives,
 * other balancers may have used them.
 */
Milliseconds
timeToAnswer(const ExpectedLoad& aLoad, double aSlots)
{
  return aLoad.serviceTime * (1 + (aLoad.requests + 1) / aSlots);
}

/** A number in [0, 1) that differs between flows and targets. */
double
uniformNumber(const Candidate& aCandidate, std::uint64_t aFlowHash)
{
  constexpr unsigned kUnusedBits = 11;
  constexpr double kScale = 0x1p-53;
  return static_cast<double>(rendezvousWeight(*aCandidate.target, aFlowHash) >>
                             kUnusedBits) *
         kScale;
}

/** The candidate with the least cost, and its cost. */
struct Cheapest
{
  const Candidate* candidate = nullptr;
  double cost = 0;
  double rankedCost = 0;
};

/**
 * The candidate with the least cost, either of the local zone or of the other
 * zones. aCost returns the cost and the difference that counts as equal.
 */
template<typename Cost>
Cheapest
cheapest(absl::Span<const Candidate> aCandidates,
         bool aIsLocalZone,
         Cost aCost,
         std::uint64_t aFlowHash)
{
  Cheapest best;
  for (const auto& candidate : aCandidates) {
    if (candidate.isLocalZone != aIsLocalZone) {
      continue;
    }
    const auto [cost, tolerance] = aCost(candidate);
    const auto rankedCost =
      cost + tolerance * uniformNumber(candidate, aFlowHash);
    if (best.candidate == nullptr || rankedCost < best.rankedCost) {
      best = { &candidate, cost, rankedCost };
    }
  }
  return best;
}

/**
 * A target's position in the search order: by ascending rank, then by
 * descending weight.
 */
struct RankedTarget
{
  const Target* target;
  int rank;
  std::uint64_t weight;

  bool operator<(const RankedTarget& aOther) const
  {
    return std::tie(rank, aOther.weight) < std::tie(aOther.rank, weight);
  }
};

constexpr int kUnlikelyOwnerRank = 6;

/** The targets that may own a flow, ranked only by whether that is unlikely. */
std::vector<RankedTarget>
possibleOwners(const FleetMap& aMap,
               const Route& aRoute,
               std::uint64_t aFlowHash,
               Core::TimePoint aNow,
               bool aIsMapOutdated)
{
  std::vector<RankedTarget> owners;
  const auto add = [&](const Target& aTarget, int aRank) {
    owners.push_back({ &aTarget, aRank, rendezvousWeight(aTarget, aFlowHash) });
  };
  for (const auto& share : aRoute.shares) {
    for (const auto& target : aMap.services()[share.service].targets) {
      add(target, 0);
    }
  }
  for (const auto& former : aRoute.formerServices) {
    if (aNow < former.until) {
      for (const auto& target : aMap.services()[former.service].targets) {
        add(target, 0);
      }
    }
  }
  if (aMap.isRouteHistoryComplete(aNow) && !aIsMapOutdated) {
    return owners;
  }
  for (const auto& service : aMap.services()) {
    for (const auto& target : service.targets) {
      const auto chance = aMap.ownerChance(aRoute, target.agent, aNow);
      if (chance == OwnerChance::Unlikely ||
          (chance == OwnerChance::None && aIsMapOutdated)) {
        add(target, kUnlikelyOwnerRank);
      }
    }
  }
  return owners;
}

template<typename Cost, typename IsWorthLeavingZone>
const Candidate*
selectByCost(absl::Span<const Candidate> aCandidates,
             std::uint64_t aFlowHash,
             Cost aCost,
             IsWorthLeavingZone aIsWorthLeavingZone)
{
  const auto local = cheapest(aCandidates, true, aCost, aFlowHash);
  const auto remote = cheapest(aCandidates, false, aCost, aFlowHash);
  if (local.candidate == nullptr || remote.candidate == nullptr) {
    return local.candidate != nullptr ? local.candidate : remote.candidate;
  }
  return aIsWorthLeavingZone(local, remote) ? remote.candidate
                                            : local.candidate;
}

const Candidate*
selectByFlows(absl::Span<const Candidate> aCandidates,
              std::uint64_t aFlowHash,
              const LoadForecast& aForecast)
{
  // Equal counts are common, so the tolerance decides between these only.
  constexpr double kTieTolerance = 1e-9;
  const auto cost = [&](const Candidate& aCandidate) {
    const auto flows =
      (aCandidate.load->longLivedFlows() + 1) / slotsOf(aCandidate);
    return std::make_pair(flows * aForecast.serviceTime(aCandidate).count(),
                          kTieTolerance);
  };
  return selectByCost(aCandidates,
                      aFlowHash,
                      cost,
                      [](const Cheapest& aLocal, const Cheapest& aRemote) {
                        return aLocal.cost >
                               aRemote.cost * (1 + kLongLivedFlowZoneMargin);
                      });
}

const Candidate*
selectByTime(absl::Span<const Candidate> aCandidates,
             std::uint64_t aFlowHash,
             const LoadForecast& aForecast)
{
  const auto cost = [&](const Candidate& aCandidate) {
    const auto load = aForecast.expectedLoad(aCandidate);
    return std::make_pair(timeToAnswer(load, slotsOf(aCandidate)).count(),
                          load.serviceTime.count() * kEqualTimes);
  };
  return selectByCost(
    aCandidates,
    aFlowHash,
    cost,
    [&](const Cheapest& aLocal, const Cheapest& aRemote) {
      const auto time = aForecast.serviceTime(*aRemote.candidate);
      return aLocal.cost - aRemote.cost > time.count() * kOneRequestZoneMargin;
    });
}

/** Needs no service time, which is unknown before the first report. */
bool
hasFreeSlot(const Candidate& aCandidate)
{
  return aCandidate.load->inProgress() <
         std::max<std::uint32_t>(aCandidate.target->slots, 1);
}

/**
 * Weighted rendezvous hashing: the candidate with the highest score is drawn
 * with a probability proportional to its budget.
 */
double
budgetScore(const Candidate& aCandidate, std::uint64_t aFlowHash)
{
  const auto weight = rendezvousWeight(*aCandidate.target, aFlowHash);
  // Maps the weight to a number above 0 and below 1.
  const double fraction = (static_cast<double>(weight >> 12U) + 0.5) * 0x1p-52;
  return aCandidate.slowStartBudget.value_or(0) / -std::log(fraction);
}

/**
 * Whether the agents report enough long-lived flows to distribute new ones by
 * their number: a quarter of the slots. Agents count them only if callers reuse
 * flows.
 */
bool
areFlowsReused(absl::Span<const Candidate> aCandidates)
{
  constexpr double kMinFlowsPerSlot = 0.25;
  double flows = 0;
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    flows += candidate.load->reported.longLivedFlows;
    slots += slotsOf(candidate);
  }
  return flows >= kMinFlowsPerSlot * slots;
}

} // namespace

const Candidate*
selectTarget(absl::Span<const Candidate> aCandidates,
             FlowType aFlowType,
             std::uint64_t aFlowHash,
             const LoadForecast& aForecast)
{
  return aFlowType == FlowType::ManyRequests
           ? selectByFlows(aCandidates, aFlowHash, aForecast)
           : selectByTime(aCandidates, aFlowHash, aForecast);
}

const Candidate*
selectOnTimeTarget(absl::Span<const Candidate> aCandidates,
                   const Route& aRoute,
                   std::uint64_t aFlowHash,
                   const LoadForecast& aForecast,
                   std::chrono::milliseconds aMaxQueueTime)
{
  const auto hasQueue = [&](const Candidate* aCandidate) {
    return aCandidate != nullptr &&
           expectedQueueTime(*aCandidate, aForecast).count() > 0;
  };
  const auto shortlisted = shortlist(aCandidates, aFlowHash);
  const auto flowType =
    areFlowsReused(aCandidates) ? aRoute.flowType : FlowType::OneRequest;
  const auto* best = selectTarget(shortlisted, flowType, aFlowHash, aForecast);
  if (flowType == FlowType::ManyRequests && hasQueue(best)) {
    best =
      selectTarget(shortlisted, FlowType::OneRequest, aFlowHash, aForecast);
  }
  if (hasQueue(best)) {
    best =
      selectTarget(aCandidates, FlowType::OneRequest, aFlowHash, aForecast);
  }
  const bool isOnTime =
    best != nullptr && expectedQueueTime(*best, aForecast) <= aMaxQueueTime;
  if (!isOnTime) {
    return nullptr;
  }
  const auto it = std::find_if(
    aCandidates.begin(), aCandidates.end(), [best](const Candidate& aOther) {
      return aOther.target == best->target;
    });
  return &*it;
}

std::vector<Candidate>
shortlist(absl::Span<const Candidate> aCandidates, std::uint64_t aFlowHash)
{
  using Weighted = std::pair<std::uint64_t, const Candidate*>;
  std::array<absl::InlinedVector<Weighted, kInlinedCandidates>, 2> zones;
  for (const auto& candidate : aCandidates) {
    zones.at(candidate.isLocalZone ? 0 : 1)
      .emplace_back(rendezvousWeight(*candidate.target, aFlowHash), &candidate);
  }
  std::vector<Candidate> selected;
  selected.reserve(2 * kShortlistSize);
  for (auto& zone : zones) {
    const auto count = std::min(zone.size(), kShortlistSize);
    std::partial_sort(zone.begin(),
                      zone.begin() + static_cast<std::ptrdiff_t>(count),
                      zone.end(),
                      std::greater<>());
    for (std::size_t i = 0; i < count; ++i) {
      selected.push_back(*zone[i].second);
    }
  }
  return selected;
}

const Candidate*
selectForLateFlow(absl::Span<const Candidate> aCandidates,
                  const LoadForecast& aForecast)
{
  const auto waitingTime = [&aForecast](const Candidate& aCandidate) {
    return aForecast.serviceTime(aCandidate) *
           aCandidate.load->totalRequests() / slotsOf(aCandidate);
  };
  const auto best = std::min_element(
    aCandidates.begin(),
    aCandidates.end(),
    [&waitingTime](const Candidate& aLeft, const Candidate& aRight) {
      return waitingTime(aLeft) < waitingTime(aRight);
    });
  return best == aCandidates.end() ? nullptr : &*best;
}

bool
hasFreeTarget(absl::Span<const Candidate> aCandidates)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), hasFreeSlot);
}

const Candidate*
selectByBudget(absl::Span<const Candidate> aCandidates, std::uint64_t aFlowHash)
{
  const Candidate* best = nullptr;
  for (const auto& candidate : aCandidates) {
    if (candidate.slowStartBudget.value_or(0) == 0 || !hasFreeSlot(candidate)) {
      continue;
    }
    const bool isBetter =
      best == nullptr ||
      std::pair(candidate.isLocalZone, budgetScore(candidate, aFlowHash)) >
        std::pair(best->isLocalZone, budgetScore(*best, aFlowHash));
    best = isBetter ? &candidate : best;
  }
  return best;
}

std::chrono::milliseconds
expectedQueueTime(const Candidate& aCandidate, const LoadForecast& aForecast)
{
  if (!aForecast.isSpeedKnown(aCandidate)) {
    return std::chrono::milliseconds(0);
  }
  const auto load = aForecast.expectedLoad(aCandidate);
  return estimatedQueueTime(
    static_cast<std::uint32_t>(std::lround(std::max(load.requests, 0.0))),
    aCandidate.target->slots,
    std::chrono::round<std::chrono::milliseconds>(load.serviceTime));
}

std::vector<const Target*>
searchOrder(const FleetMap& aMap,
            const Route& aRoute,
            absl::string_view aZone,
            std::uint64_t aFlowHash,
            Core::TimePoint aNow,
            bool aIsMapOutdated)
{
  auto ranked = possibleOwners(aMap, aRoute, aFlowHash, aNow, aIsMapOutdated);
  std::sort(ranked.begin(), ranked.end());
  std::size_t localCount = 0;
  std::size_t remoteCount = 0;
  for (auto& rankedTarget : ranked) {
    if (rankedTarget.rank == kUnlikelyOwnerRank) {
      continue;
    }
    const bool isLocal = rankedTarget.target->zone == aZone;
    const bool isRemoved = rankedTarget.target->isRemoved();
    auto& count = isLocal ? localCount : remoteCount;
    const bool isShortlisted = !isRemoved && count++ < kShortlistSize;
    rankedTarget.rank =
      (isLocal ? 0 : 1) + (isShortlisted ? 0 : 2) + (isRemoved ? 2 : 0);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const Target*> order;
  order.reserve(ranked.size());
  for (const auto& rankedTarget : ranked) {
    order.push_back(rankedTarget.target);
  }
  return order;
}

std::uint64_t
rendezvousWeight(const Target& aTarget, std::uint64_t aFlowHash)
{
  return mixBits(aFlowHash ^ mixBits(endpointKey(aTarget.agent)));
}

std::size_t
selectService(const Route& aRoute, std::uint64_t aFlowHash)
{
  const auto total =
    std::accumulate(aRoute.shares.begin(),
                    aRoute.shares.end(),
                    std::uint64_t{ 0 },
                    [](std::uint64_t aSum, const auto& aShare) {
                      return aSum + aShare.weight;
                    });
  if (total == 0) {
    return aRoute.shares.front().service;
  }
  auto point = mixBits(aFlowHash) % total;
  for (const auto& share : aRoute.shares) {
    if (point < share.weight) {
      return share.service;
    }
    point -= share.weight;
  }
  return aRoute.shares.back().service;
}

} // namespace Steering
