#include "steering/pendingopenings.h"

#include <algorithm>

namespace Steering {

PendingOpening*
PendingOpenings::find(const Packet::FlowKey& aFlow)
{
  const auto it = mOpenings.find(aFlow);
  return it == mOpenings.end() ? nullptr : &it->second;
}

PendingOpening*
PendingOpenings::add(const Packet::FlowKey& aFlow,
                     absl::Span<const std::uint8_t> aPacket,
                     Core::TimePoint aNow)
{
  if (mOpenings.size() >= kCapacity) {
    return nullptr;
  }
  auto& opening = mOpenings[aFlow];
  opening.flow = aFlow;
  opening.packet.assign(aPacket.begin(), aPacket.end());
  opening.firstAt = aNow;
  return &opening;
}

std::vector<PendingOpening>
PendingOpenings::takeExpired(Core::TimePoint aNow)
{
  std::vector<PendingOpening> expired;
  absl::erase_if(mOpenings, [&expired, aNow](auto& aEntry) {
    const bool isOver = aNow - aEntry.second.firstAt >= kAttemptTime;
    if (isOver) {
      expired.push_back(std::move(aEntry.second));
    }
    return isOver;
  });
  return expired;
}

std::vector<Packet::FlowKey>
PendingOpenings::unanswered(std::chrono::milliseconds aTimeout,
                            Core::TimePoint aNow) const
{
  std::vector<Packet::FlowKey> flows;
  for (const auto& [flow, opening] : mOpenings) {
    if (!opening.isWaiting() && aNow - opening.sentAt >= aTimeout) {
      flows.push_back(flow);
    }
  }
  return flows;
}

std::vector<Packet::FlowKey>
PendingOpenings::waiting(std::chrono::milliseconds aFresh,
                         Core::TimePoint aNow) const
{
  std::vector<const PendingOpening*> list;
  for (const auto& [flow, opening] : mOpenings) {
    if (opening.isWaiting()) {
      list.push_back(&opening);
    }
  }
  const auto isFresh = [aFresh, aNow](const PendingOpening& aOpening) {
    return aNow - aOpening.firstAt < aFresh;
  };
  std::sort(list.begin(),
            list.end(),
            [&isFresh](const auto* aLeft, const auto* aRight) {
              if (isFresh(*aLeft) != isFresh(*aRight)) {
                return isFresh(*aLeft);
              }
              return isFresh(*aLeft) ? aLeft->firstAt > aRight->firstAt
                                     : aLeft->firstAt < aRight->firstAt;
            });
  std::vector<Packet::FlowKey> flows;
  flows.reserve(list.size());
  for (const auto* opening : list) {
    flows.push_back(opening->flow);
  }
  return flows;
}

std::size_t
PendingOpenings::waitingCount() const
{
  return static_cast<std::size_t>(
    std::count_if(mOpenings.begin(), mOpenings.end(), [](const auto& aEntry) {
      return aEntry.second.isWaiting();
    }));
}

} // namespace Steering
