#include "steering/targetselection.h"

#include "steering/slotwait.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace Steering {

namespace {

/**
 * A flow of many requests leaves its zone when a target there has so many
 * flows a slot more than one elsewhere, as a part of the latter's. From the
 * target for busiest over mean, 1.10.
 */
constexpr double kLongFlowMargin = 0.10;
/**
 * A flow of one request leaves its zone for so many requests a slot less. The
 * way between zones and back takes about ten milliseconds, as long as a
 * sixth of a usual request.
 */
constexpr double kShortFlowMargin = 0.25;
/** A target that just started takes about so many times longer. */
constexpr double kWarmUpFactor = 1.6;

double
slotsOf(const Candidate& aCandidate)
{
  const auto slots =
    static_cast<double>(std::max<std::uint32_t>(aCandidate.target->slots, 1));
  return aCandidate.isWarm ? slots : slots / kWarmUpFactor;
}

double
requestsPerSlot(const Candidate& aCandidate)
{
  return (aCandidate.load->inProgress() + 1) / slotsOf(aCandidate);
}

double
flowsPerSlot(const Candidate& aCandidate)
{
  return (aCandidate.load->longFlows() + 1) / slotsOf(aCandidate);
}

/** The candidate of one zone side with the least cost. */
template<typename Cost>
const Candidate*
cheapest(absl::Span<const Candidate> aCandidates,
         bool aIsOwnZone,
         Cost aCost,
         std::uint64_t aFlowHash)
{
  const Candidate* best = nullptr;
  for (const auto& it : aCandidates) {
    if (it.isOwnZone != aIsOwnZone) {
      continue;
    }
    const bool isCheaper = best == nullptr || aCost(it) < aCost(*best);
    const bool isEqual = best != nullptr && aCost(it) == aCost(*best);
    const bool winsTie =
      isEqual && rendezvousWeight(*it.target, aFlowHash) >
                   rendezvousWeight(*best->target, aFlowHash);
    if (isCheaper || winsTie) {
      best = &it;
    }
  }
  return best;
}

/** A target's place in the order of a search: a smaller one comes first. */
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

template<typename Cost, typename IsWorthTheWay>
const Candidate*
selectBy(absl::Span<const Candidate> aCandidates,
         std::uint64_t aFlowHash,
         Cost aCost,
         IsWorthTheWay aIsWorthTheWay)
{
  const auto* own = cheapest(aCandidates, true, aCost, aFlowHash);
  const auto* other = cheapest(aCandidates, false, aCost, aFlowHash);
  if (own == nullptr || other == nullptr) {
    return own != nullptr ? own : other;
  }
  return aIsWorthTheWay(aCost(*own), aCost(*other)) ? other : own;
}

} // namespace

const Candidate*
selectTarget(absl::Span<const Candidate> aCandidates,
             FlowHabit aHabit,
             std::uint64_t aFlowHash)
{
  if (aHabit == FlowHabit::ManyRequests) {
    return selectBy(
      aCandidates, aFlowHash, flowsPerSlot, [](double aOwn, double aOther) {
        return aOwn > aOther * (1 + kLongFlowMargin);
      });
  }
  return selectBy(
    aCandidates, aFlowHash, requestsPerSlot, [](double aOwn, double aOther) {
      return aOwn > aOther + kShortFlowMargin;
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
  std::size_t own = 0;
  std::size_t other = 0;
  std::erase_if(sorted, [&own, &other](const Candidate& aCandidate) {
    auto& count = aCandidate.isOwnZone ? own : other;
    return count++ >= kShortlistSize;
  });
  return sorted;
}

const Candidate*
selectForLate(absl::Span<const Candidate> aCandidates)
{
  const auto best =
    std::min_element(aCandidates.begin(),
                     aCandidates.end(),
                     [](const Candidate& aLeft, const Candidate& aRight) {
                       return aLeft.load->allRequests() / slotsOf(aLeft) <
                              aRight.load->allRequests() / slotsOf(aRight);
                     });
  return best == aCandidates.end() ? nullptr : &*best;
}

std::chrono::milliseconds
expectedWait(const Candidate& aCandidate)
{
  const auto& load = *aCandidate.load;
  const auto wait = waitForSlot(
    load.inProgress(), aCandidate.target->slots, load.reported.serviceTime);
  return aCandidate.isWarm
           ? wait
           : std::chrono::duration_cast<std::chrono::milliseconds>(
               wait * kWarmUpFactor);
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
  std::size_t ownCount = 0;
  std::size_t otherCount = 0;
  for (auto& it : ranked) {
    const bool isOwn = it.target->zone == aZone;
    const bool isDeparted = it.target->isDeparted();
    auto& count = isOwn ? ownCount : otherCount;
    const bool isListed = !isDeparted && count++ < kShortlistSize;
    it.rank = (isOwn ? 0 : 1) + (isListed ? 0 : 2) + (isDeparted ? 2 : 0);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const Target*> order;
  order.reserve(ranked.size());
  for (const auto& it : ranked) {
    order.push_back(it.target);
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
