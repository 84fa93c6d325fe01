#include "control/peerchoice.h"

#include "config/document.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace Control {

namespace {

constexpr std::size_t kReadersPerZone = 2;
constexpr std::size_t kPeersInOwnZone = 3;

/** A pseudorandom number that is the same in all processes. */
std::uint64_t
rankOf(const std::string& aSalt, const std::string& aName)
{
  return Config::identityOf(absl::StrCat(aSalt, "\n", aName));
}

using RankedInstances =
  std::vector<std::pair<std::uint64_t, const Config::Instance*>>;

} // namespace

bool
isServiceReader(const Config::InstanceList& aList, const LocalInstance& aSelf)
{
  const auto ownRank = rankOf("reader", aSelf.name);
  const auto lowerRankedCount =
    std::count_if(aList.instances.begin(),
                  aList.instances.end(),
                  [&](const Config::Instance& aInstance) {
                    return aInstance.zone == aSelf.zone && !aInstance.leaving &&
                           aInstance.name != aSelf.name &&
                           rankOf("reader", aInstance.name) < ownRank;
                  });
  return static_cast<std::size_t>(lowerRankedCount) < kReadersPerZone;
}

std::vector<Config::Instance>
choosePeers(const Config::InstanceList& aList, const LocalInstance& aSelf)
{
  std::map<std::string, RankedInstances> zones;
  for (const auto& instance : aList.instances) {
    if (instance.name != aSelf.name) {
      zones[instance.zone].emplace_back(rankOf(aSelf.name, instance.name),
                                        &instance);
    }
  }
  const bool isReader = isServiceReader(aList, aSelf);
  std::vector<Config::Instance> peers;
  for (auto& [zone, ranked] : zones) {
    const bool isOwnZone = zone == aSelf.zone;
    const std::size_t maxPeers =
      isOwnZone ? kPeersInOwnZone : (isReader ? 1 : 0);
    const auto peerCount = std::min(maxPeers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + peerCount, ranked.end());
    for (std::size_t i = 0; i < peerCount; ++i) {
      peers.push_back(*ranked[i].second);
    }
  }
  return peers;
}

} // namespace Control
