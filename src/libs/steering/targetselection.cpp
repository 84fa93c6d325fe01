#include "steering/targetselection.h"

#include "steering/queuetime.h"

#include <algorithm>
#include <cmath>
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
 * A flow with one request goes to another zone if that saves this many requests
 * per slot. A round trip between zones takes about ten milliseconds, a sixth of
 * a typical request.
 */
constexpr double kOneRequestZoneMargin = 0.25;
/** Requests take this many times longer during the slow start. */
constexpr double kSlowStartFactor = 1.6;

double
effectiveSlots(const Candidate& aCandidate)
{
  const auto slots =
    static_cast<double>(std::max<std::uint32_t>(aCandidate.target->slots, 1));
  return aCandidate.isSlowStartOver ? slots : slots / kSlowStartFactor;
}

double
requestsPerSlot(const Candidate& aCandidate)
{
  return (aCandidate.load->inProgress() + 1) / effectiveSlots(aCandidate);
}

double
flowsPerSlot(const Candidate& aCandidate)
{
  return (aCandidate.load->longLivedFlows() + 1) / effectiveSlots(aCandidate);
}

/**
 * The candidate with the least cost, either of the local zone or of the other
 * zones.
 */
template<typename Cost>
const Candidate*
cheapest(absl::Span<const Candidate> aCandidates,
         bool aIsLocalZone,
         Cost aCost,
         std::uint64_t aFlowHash)
{
  const Candidate* best = nullptr;
  for (const auto& candidate : aCandidates) {
    if (candidate.isLocalZone != aIsLocalZone) {
      continue;
    }
    const bool isCheaper = best == nullptr || aCost(candidate) < aCost(*best);
    const bool isEqual = best != nullptr && aCost(candidate) == aCost(*best);
    const bool winsTie =
      isEqual && rendezvousWeight(*candidate.target, aFlowHash) >
                   rendezvousWeight(*best->target, aFlowHash);
    if (isCheaper || winsTie) {
      best = &candidate;
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

template<typename Cost, typename IsWorthLeavingZone>
const Candidate*
selectByCost(absl::Span<const Candidate> aCandidates,
             std::uint64_t aFlowHash,
             Cost aCost,
             IsWorthLeavingZone aIsWorthLeavingZone)
{
  const auto* local = cheapest(aCandidates, true, aCost, aFlowHash);
  const auto* remote = cheapest(aCandidates, false, aCost, aFlowHash);
  if (local == nullptr || remote == nullptr) {
    return local != nullptr ? local : remote;
  }
  return aIsWorthLeavingZone(aCost(*local), aCost(*remote)) ? remote : local;
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

} // namespace

const Candidate*
selectTarget(absl::Span<const Candidate> aCandidates,
             FlowType aFlowType,
             std::uint64_t aFlowHash)
{
  if (aFlowType == FlowType::ManyRequests) {
    return selectByCost(
      aCandidates, aFlowHash, flowsPerSlot, [](double aLocal, double aRemote) {
        return aLocal > aRemote * (1 + kLongLivedFlowZoneMargin);
      });
  }
  return selectByCost(
    aCandidates, aFlowHash, requestsPerSlot, [](double aLocal, double aRemote) {
      return aLocal > aRemote + kOneRequestZoneMargin;
    });
}

std::vector<Candidate>
shortlist(absl::Span<const Candidate> aCandidates, std::uint64_t aFlowHash)
{
  std::vector<Candidate> sorted(aCandidates.begin(), aCandidates.end());
  std::sort(sorted.begin(),
            sorted.end(),
            [aFlowHash](const Candidate& aLeft, const Candidate& aRight) {
              return rendezvousWeight(*aLeft.target, aFlowHash) >
                     rendezvousWeight(*aRight.target, aFlowHash);
            });
  std::size_t local = 0;
  std::size_t remote = 0;
  std::erase_if(sorted, [&local, &remote](const Candidate& aCandidate) {
    auto& count = aCandidate.isLocalZone ? local : remote;
    return count++ >= kShortlistSize;
  });
  return sorted;
}

const Candidate*
selectForLateFlow(absl::Span<const Candidate> aCandidates)
{
  const auto best = std::min_element(
    aCandidates.begin(),
    aCandidates.end(),
    [](const Candidate& aLeft, const Candidate& aRight) {
      return aLeft.load->totalRequests() / effectiveSlots(aLeft) <
             aRight.load->totalRequests() / effectiveSlots(aRight);
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
expectedQueueTime(const Candidate& aCandidate)
{
  const auto& load = *aCandidate.load;
  const auto queueTime = estimatedQueueTime(
    load.inProgress(), aCandidate.target->slots, load.reported.serviceTime);
  return aCandidate.isSlowStartOver
           ? queueTime
           : std::chrono::duration_cast<std::chrono::milliseconds>(
               queueTime * kSlowStartFactor);
}

std::vector<const Target*>
searchOrder(const FleetMap& aMap,
            const Route& aRoute,
            absl::string_view aZone,
            std::uint64_t aFlowHash)
{
  std::vector<RankedTarget> ranked;
  for (const auto& share : aRoute.shares) {
    for (const auto& target : aMap.services()[share.service].targets) {
      ranked.push_back({ &target, 0, rendezvousWeight(target, aFlowHash) });
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::size_t localCount = 0;
  std::size_t remoteCount = 0;
  for (auto& rankedTarget : ranked) {
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
