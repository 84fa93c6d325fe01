#include "ownership/targetchoice.h"

#include <tuple>

namespace Ownership {

namespace {

/** Orders candidates; the smaller one is chosen. */
struct Rank
{
  bool isFarAndOwnFirst;
  double useShare;
  bool isFar;
  std::uint64_t tieBreak;

  bool operator<(const Rank& aOther) const
  {
    return std::tie(isFarAndOwnFirst, useShare, isFar, tieBreak) <
           std::tie(aOther.isFarAndOwnFirst,
                    aOther.useShare,
                    aOther.isFar,
                    aOther.tieBreak);
  }
};

bool
hasRoom(const Load& aLoad, Config::Occupies aOccupies)
{
  if (aLoad.connectionsInUse >= aLoad.connections) {
    return false;
  }
  return aOccupies == Config::Occupies::Connection ||
         aLoad.slotsInUse < aLoad.slots;
}

double
useShare(const Load& aLoad, Config::Occupies aOccupies)
{
  if (aOccupies == Config::Occupies::Connection) {
    return static_cast<double>(aLoad.connectionsInUse) / aLoad.connections;
  }
  return static_cast<double>(aLoad.slotsInUse) / aLoad.slots;
}

std::uint64_t
mix(std::uint64_t aValue)
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
  for (const auto& it : aCandidates) {
    if (!hasRoom(it.load, aRequest.occupies)) {
      continue;
    }
    const bool isFar = it.zone != aRequest.zone;
    const bool ownFirst =
      aRequest.preference == Config::ZonePreference::OwnFirst;
    const Rank rank{ isFar && ownFirst,
                     useShare(it.load, aRequest.occupies),
                     isFar,
                     mix(it.target ^ aRequest.flowHash) };
    if (best == 0 || rank < bestRank) {
      best = it.target;
      bestRank = rank;
    }
  }
  return best;
}

} // namespace Ownership
