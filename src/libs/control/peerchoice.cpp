#include "control/peerchoice.h"

#include "config/document.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace Control {

namespace {

constexpr std::size_t kReadersPerZone = 2;
constexpr std::size_t kOwnZonePeers = 3;

std::uint64_t
rankOf(const std::string& aSelf, const std::string& aOther)
{
  return Config::identityOf(absl::StrCat(aSelf, "\n", aOther));
}

using Ranked = std::vector<std::pair<std::uint64_t, const Config::Instance*>>;

} // namespace

bool
isServiceReader(const Config::InstanceList& aList, const SelfPlace& aSelf)
{
  const auto ownRank = rankOf("reader", aSelf.name);
  const auto before =
    std::count_if(aList.instances.begin(),
                  aList.instances.end(),
                  [&](const Config::Instance& aInstance) {
                    return aInstance.zone == aSelf.zone && !aInstance.leaving &&
                           aInstance.name != aSelf.name &&
                           rankOf("reader", aInstance.name) < ownRank;
                  });
  return static_cast<std::size_t>(before) < kReadersPerZone;
}

std::vector<Config::Instance>
choosePeers(const Config::InstanceList& aList, const SelfPlace& aSelf)
{
  std::map<std::string, Ranked> zones;
  for (const auto& it : aList.instances) {
    if (it.name != aSelf.name) {
      zones[it.zone].emplace_back(rankOf(aSelf.name, it.name), &it);
    }
  }
  const bool isReader = isServiceReader(aList, aSelf);
  std::vector<Config::Instance> peers;
  for (auto& [zone, ranked] : zones) {
    const bool isOwn = zone == aSelf.zone;
    const std::size_t wanted = isOwn ? kOwnZonePeers : (isReader ? 1 : 0);
    const auto n = std::min(wanted, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + n, ranked.end());
    for (std::size_t i = 0; i < n; ++i) {
      peers.push_back(*ranked[i].second);
    }
  }
  return peers;
}

} // namespace Control
