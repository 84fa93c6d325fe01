#include "ownership/targetchoice.h"

#include <tuple>

namespace Ownership {

namespace {

/** Orders candidates; the smallest rank is chosen. */
struct Rank
{
  bool isOutsidePreferredZone;
  double utilization;
  bool isOtherZone;
  std::uint64_t tieBreak;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(
             isOutsidePreferredZone, utilization, isOtherZone, tieBreak) <
           std::tie(aOther.isOutsidePreferredZone,
                    aOther.utilization,
                    aOther.isOtherZone,
                    aOther.tieBreak);
  }
};

bool
hasCapacity(const Load& aLoad, Config::Resource aResource)
{
  if (aLoad.connectionsInUse >= aLoad.connections) {
    return false;
  }
  return aResource == Config::Resource::Connection ||
         aLoad.slotsInUse < aLoad.slots;
}

double
utilization(const Load& aLoad, Config::Resource aResource)
{
  if (aResource == Config::Resource::Connection) {
    return static_cast<double>(aLoad.connectionsInUse) / aLoad.connections;
  }
  return static_cast<double>(aLoad.slotsInUse) / aLoad.slots;
}

std::uint64_t
mixHash(std::uint64_t aValue)
{
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr unsigned kShift = 32;
  aValue *= kMultiplier;
  return aValue ^ (aValue >> kShift);
}

} // namespace

Config::Identity
chooseTarget(absl::Span<const Candidate> aCandidates,
             const ChoiceRequest& aRequest)
{
  Config::Identity best = 0;
  Rank bestRank{};
  for (const auto& candidate : aCandidates) {
    if (!hasCapacity(candidate.load, aRequest.resource)) {
      continue;
    }
    const bool isOtherZone = candidate.zone != aRequest.zone;
    const bool prefersOwnZone =
      aRequest.preference == Config::ZonePreference::OwnFirst;
    const Rank rank{ isOtherZone && prefersOwnZone,
                     utilization(candidate.load, aRequest.resource),
                     isOtherZone,
                     mixHash(candidate.target ^ aRequest.flowHash) };
    if (best == 0 || rank < bestRank) {
      best = candidate.target;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace Ownership
