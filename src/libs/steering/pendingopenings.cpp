#include "steering/pendingopenings.h"

#include <algorithm>

namespace Steering {

PendingOpenings::PendingOpenings(const AttemptSchedule& aSchedule)
  : mSchedule(aSchedule)
{
}

PendingOpening*
PendingOpenings::find(const Packet::FlowKey& aFlow)
{
  const auto it = mOpenings.find(aFlow);
  return it == mOpenings.end() ? nullptr : &it->second;
}

PendingOpening*
PendingOpenings::add(const Packet::FlowKey& aFlow,
                     absl::Span<const std::uint8_t> aPacket,
                     std::uint32_t aCopy,
                     Core::TimePoint aNow)
{
  if (mOpenings.size() >= kCapacity) {
    return nullptr;
  }
  auto& opening = mOpenings[aFlow];
  opening.flow = aFlow;
  opening.packet.assign(aPacket.begin(), aPacket.end());
  opening.firstAt = aNow - mSchedule.age(aCopy);
  noteCopy(opening, aCopy, aNow);
  return &opening;
}

void
PendingOpenings::noteCopy(PendingOpening& aOpening,
                          std::uint32_t aCopy,
                          Core::TimePoint aNow) const
{
  const auto slack =
    mSchedule.isLast(aCopy) ? std::chrono::milliseconds(0) : kCopyDelay;
  aOpening.validUntil = aNow + mSchedule.timeToNext(aCopy) + slack;
}

std::vector<PendingOpening>
PendingOpenings::takeExpired(Core::TimePoint aNow)
{
  std::vector<PendingOpening> expired;
  absl::erase_if(mOpenings, [&expired, aNow](auto& aEntry) {
    const bool isOver = aNow >= aEntry.second.validUntil;
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

std::vector<PendingOpenings::Waiting>
PendingOpenings::waiting(const FreshTime& aFreshTime,
                         Core::TimePoint aNow) const
{
  struct Ranked
  {
    const PendingOpening* opening;
    bool isFresh;
  };
  std::vector<Ranked> list;
  for (const auto& [flow, opening] : mOpenings) {
    if (opening.isWaiting()) {
      list.push_back({ &opening, aNow - opening.firstAt < aFreshTime(flow) });
    }
  }
  std::sort(
    list.begin(), list.end(), [](const Ranked& aLeft, const Ranked& aRight) {
      if (aLeft.isFresh != aRight.isFresh) {
        return aLeft.isFresh;
      }
      return aLeft.isFresh ? aLeft.opening->firstAt > aRight.opening->firstAt
                           : aLeft.opening->firstAt < aRight.opening->firstAt;
    });
  std::vector<Waiting> flows;
  flows.reserve(list.size());
  for (const auto& it : list) {
    flows.push_back({ it.opening->flow, it.isFresh });
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
