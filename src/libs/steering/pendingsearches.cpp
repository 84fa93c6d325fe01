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
  search.askedAt = aNow;
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

std::vector<Packet::FlowKey>
PendingSearches::takeDue(std::chrono::milliseconds aAnswerTime,
                         Core::TimePoint aNow)
{
  absl::erase_if(mSearches, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.startedAt >= kMostTime;
  });
  std::vector<Packet::FlowKey> due;
  for (const auto& [flow, search] : mSearches) {
    if (aNow - search.askedAt >= aAnswerTime) {
      due.push_back(flow);
    }
  }
  return due;
}

} // namespace Steering
