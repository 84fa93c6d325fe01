#include "steering/pendingsearches.h"

#include <utility>

namespace Steering {

PendingSearch*
PendingSearches::find(const Packet::FlowKey& aFlow)
{
  const auto it = mSearches.find(aFlow);
  return it == mSearches.end() ? nullptr : &it->second;
}

PendingSearch*
PendingSearches::begin(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  if (mSearches.size() >= kCapacity) {
    return nullptr;
  }
  auto& search = mSearches[aFlow];
  search.startedAt = aNow;
  return &search;
}

void
PendingSearches::keep(PendingSearch& aSearch,
                      absl::Span<const std::uint8_t> aPacket)
{
  if (aSearch.packets.size() < kMostPackets) {
    aSearch.packets.emplace_back(aPacket.begin(), aPacket.end());
  }
}

std::optional<PendingSearch>
PendingSearches::take(const Packet::FlowKey& aFlow)
{
  const auto it = mSearches.find(aFlow);
  if (it == mSearches.end()) {
    return std::nullopt;
  }
  auto search = std::move(it->second);
  mSearches.erase(it);
  return search;
}

template<typename IsDue>
std::vector<Packet::FlowKey>
PendingSearches::collect(IsDue aIsDue) const
{
  std::vector<Packet::FlowKey> due;
  for (const auto& [flow, search] : mSearches) {
    if (aIsDue(search)) {
      due.push_back(flow);
    }
  }
  return due;
}

std::optional<Packet::FlowKey>
PendingSearches::longestUnlocated(std::chrono::milliseconds aTime,
                                  Core::TimePoint aNow) const
{
  std::optional<Packet::FlowKey> longest;
  auto earliest = aNow - aTime;
  for (const auto& [flow, search] : mSearches) {
    if (!search.areAllLocated && search.locatedAt <= earliest) {
      longest = flow;
      earliest = search.locatedAt;
    }
  }
  return longest;
}

std::vector<Packet::FlowKey>
PendingSearches::untried(std::chrono::milliseconds aTime,
                         Core::TimePoint aNow) const
{
  return collect([&](const PendingSearch& aSearch) {
    return aSearch.triedAt == Core::TimePoint{} &&
           aNow - aSearch.startedAt >= aTime;
  });
}

std::vector<Packet::FlowKey>
PendingSearches::unanswered(std::chrono::milliseconds aTime,
                            Core::TimePoint aNow) const
{
  return collect([&](const PendingSearch& aSearch) {
    return aSearch.triedAt != Core::TimePoint{} &&
           aNow - aSearch.triedAt >= aTime;
  });
}

void
PendingSearches::expire(Core::TimePoint aNow)
{
  absl::erase_if(mSearches, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.startedAt >= kMostTime;
  });
}

} // namespace Steering
