#include "steering/pendingsearches.h"

#include <algorithm>
#include <utility>

#include <tuple>

namespace Steering {

PendingSearch*
PendingSearches::find(const Packet::FlowKey& aFlow)
{
  const auto it = mSearches.find(aFlow);
  return it == mSearches.end() ? nullptr : &it->second;
}

PendingSearch*
PendingSearches::add(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  if (mSearches.size() >= kCapacity) {
    return nullptr;
  }
  auto& search = mSearches[aFlow];
  search.startedAt = aNow;
  return &search;
}

void
PendingSearches::bufferPacket(PendingSearch& aSearch,
                              absl::Span<const std::uint8_t> aPacket)
{
  if (aSearch.packets.size() < kMaxPackets) {
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
  // The order of a hash table differs between runs.
  std::sort(due.begin(), due.end());
  return due;
}

std::vector<Packet::FlowKey>
PendingSearches::flowsToQuery(std::chrono::milliseconds aInterval,
                              Core::TimePoint aNow) const
{
  using Entry = std::pair<Packet::FlowKey, const PendingSearch*>;
  std::vector<Entry> searches;
  for (const auto& [flow, search] : mSearches) {
    const bool isDue = search.queriedCount == 0 || search.isAnswered() ||
                       aNow - search.lastQueryAt >= aInterval;
    if (isDue && !search.isExhausted()) {
      searches.emplace_back(flow, &search);
    }
  }
  std::sort(searches.begin(),
            searches.end(),
            [](const Entry& aLeft, const Entry& aRight) {
              return std::tie(aLeft.second->startedAt, aLeft.first) <
                     std::tie(aRight.second->startedAt, aRight.first);
            });
  std::vector<Packet::FlowKey> flows;
  flows.reserve(searches.size());
  for (const auto& [flow, search] : searches) {
    flows.push_back(flow);
  }
  return flows;
}

std::vector<Packet::FlowKey>
PendingSearches::continuableFlows(std::chrono::milliseconds aDelay,
                                  Core::TimePoint aNow) const
{
  return collect([&](const PendingSearch& aSearch) {
    return aSearch.hasNews && !aSearch.isExhausted() &&
           !aSearch.isForwarded() && aNow - aSearch.startedAt >= aDelay;
  });
}

std::vector<Packet::FlowKey>
PendingSearches::unansweredFlows(std::chrono::milliseconds aTimeout,
                                 Core::TimePoint aNow) const
{
  return collect([&](const PendingSearch& aSearch) {
    return !aSearch.isExhausted() && aSearch.isForwarded() &&
           aNow - aSearch.forwardedAt >= aTimeout;
  });
}

std::vector<Packet::FlowKey>
PendingSearches::exhaustedFlows(std::chrono::milliseconds aDelay,
                                Core::TimePoint aNow) const
{
  return collect([&](const PendingSearch& aSearch) {
    return aSearch.isExhausted() && aNow - aSearch.exhaustedAt >= aDelay;
  });
}

void
PendingSearches::beginNewPasses()
{
  for (auto& [flow, search] : mSearches) {
    search.beginNextPass();
  }
}

void
PendingSearches::expire(Core::TimePoint aNow)
{
  absl::erase_if(mSearches, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.startedAt >= kMaxDuration;
  });
}

} // namespace Steering
