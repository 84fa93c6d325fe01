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
  const auto it = mPendingFlows.find(aFlow);
  return it == mPendingFlows.end() ? nullptr : &it->second;
}

PendingOpening*
PendingOpenings::add(const Packet::FlowKey& aFlow,
                     absl::Span<const std::uint8_t> aPacket,
                     std::uint32_t aRetransmissionCount,
                     Core::TimePoint aNow)
{
  if (mPendingFlows.size() >= kCapacity) {
    return nullptr;
  }
  auto& pending = mPendingFlows[aFlow];
  pending.flow = aFlow;
  pending.packet.assign(aPacket.begin(), aPacket.end());
  pending.firstSentAt = aNow - mSchedule.age(aRetransmissionCount);
  recordRetransmission(pending, aRetransmissionCount, aNow);
  return &pending;
}

void
PendingOpenings::recordRetransmission(PendingOpening& aPending,
                                      std::uint32_t aRetransmissionCount,
                                      Core::TimePoint aNow) const
{
  const auto allowedDelay = mSchedule.isLast(aRetransmissionCount)
                              ? std::chrono::milliseconds(0)
                              : kMaxRetransmissionDelay;
  aPending.expiresAt =
    aNow + mSchedule.timeToNext(aRetransmissionCount) + allowedDelay;
}

std::vector<PendingOpening>
PendingOpenings::takeExpired(Core::TimePoint aNow)
{
  std::vector<PendingOpening> expired;
  absl::erase_if(mPendingFlows, [&expired, aNow](auto& aEntry) {
    const bool isExpired = aNow >= aEntry.second.expiresAt;
    if (isExpired) {
      expired.push_back(std::move(aEntry.second));
    }
    return isExpired;
  });
  return expired;
}

std::vector<Packet::FlowKey>
PendingOpenings::unansweredFlows(std::chrono::milliseconds aTimeout,
                                 Core::TimePoint aNow) const
{
  std::vector<Packet::FlowKey> flows;
  for (const auto& [flow, pending] : mPendingFlows) {
    if (!pending.isQueued() && aNow - pending.forwardedAt >= aTimeout) {
      flows.push_back(flow);
    }
  }
  return flows;
}

std::vector<PendingOpenings::QueuedFlow>
PendingOpenings::queuedFlows(const ObjectiveFunction& aObjectiveOf,
                             Core::TimePoint aNow) const
{
  struct Ranked
  {
    const PendingOpening* pending;
    bool isOnTime;
  };
  std::vector<Ranked> ranked;
  for (const auto& [flow, pending] : mPendingFlows) {
    if (pending.isQueued()) {
      ranked.push_back(
        { &pending, aNow - pending.firstSentAt < aObjectiveOf(flow) });
    }
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const Ranked& aLeft, const Ranked& aRight) {
              if (aLeft.isOnTime != aRight.isOnTime) {
                return aLeft.isOnTime;
              }
              return aLeft.isOnTime ? aLeft.pending->firstSentAt >
                                        aRight.pending->firstSentAt
                                    : aLeft.pending->firstSentAt <
                                        aRight.pending->firstSentAt;
            });
  std::vector<QueuedFlow> flows;
  flows.reserve(ranked.size());
  for (const auto& it : ranked) {
    flows.push_back({ it.pending->flow, it.isOnTime });
  }
  return flows;
}

std::size_t
PendingOpenings::queuedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mPendingFlows.begin(), mPendingFlows.end(), [](const auto& aEntry) {
      return aEntry.second.isQueued();
    }));
}

} // namespace Steering
