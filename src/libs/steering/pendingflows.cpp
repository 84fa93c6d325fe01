#include "steering/pendingflows.h"

#include <algorithm>

namespace Steering {

PendingFlows::PendingFlows(const RetransmissionSchedule& aSchedule)
  : mSchedule(aSchedule)
{
}

PendingFlow*
PendingFlows::find(const Packet::FlowKey& aFlow)
{
  const auto it = mPendingFlows.find(aFlow);
  return it == mPendingFlows.end() ? nullptr : &it->second;
}

PendingFlow*
PendingFlows::add(const Packet::FlowKey& aFlow,
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
PendingFlows::recordRetransmission(PendingFlow& aPending,
                                   std::uint32_t aRetransmissionCount,
                                   Core::TimePoint aNow) const
{
  const auto allowedDelay = mSchedule.isLast(aRetransmissionCount)
                              ? std::chrono::milliseconds(0)
                              : kMaxRetransmissionDelay;
  aPending.expiresAt =
    aNow + mSchedule.timeToNext(aRetransmissionCount) + allowedDelay;
}

std::vector<PendingFlow>
PendingFlows::takeExpired(Core::TimePoint aNow)
{
  std::vector<PendingFlow> expired;
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
PendingFlows::unansweredFlows(std::chrono::milliseconds aTimeout,
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

std::vector<PendingFlows::QueuedFlow>
PendingFlows::queuedFlows(const ObjectiveFunction& aObjectiveOf,
                          Core::TimePoint aNow) const
{
  struct RankedFlow
  {
    const PendingFlow* pending;
    bool isOnTime;
  };
  std::vector<RankedFlow> ranked;
  for (const auto& [flow, pending] : mPendingFlows) {
    if (pending.isQueued()) {
      ranked.push_back(
        { &pending, aNow - pending.firstSentAt < aObjectiveOf(flow) });
    }
  }
  std::sort(ranked.begin(),
            ranked.end(),
            [](const RankedFlow& aLeft, const RankedFlow& aRight) {
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
  for (const auto& rankedFlow : ranked) {
    flows.push_back({ rankedFlow.pending->flow, rankedFlow.isOnTime });
  }
  return flows;
}

std::size_t
PendingFlows::queuedCount() const
{
  return static_cast<std::size_t>(std::count_if(
    mPendingFlows.begin(), mPendingFlows.end(), [](const auto& aEntry) {
      return aEntry.second.isQueued();
    }));
}

} // namespace Steering
