#include "steering/pendingflows.h"

#include "steering/fleetmap.h"

#include <algorithm>
#include <utility>

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
  pending.number = ++mLastNumber;
  pending.mayBeAtTarget = aRetransmissionCount > 0;
  pending.packet.assign(aPacket.begin(), aPacket.end());
  pending.firstSentAt = aNow - mSchedule.age(aRetransmissionCount);
  recordRetransmission(pending, aRetransmissionCount, aNow);
  addToQueue(pending);
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
  aPending.nextSynDueAt = aNow + mSchedule.timeToNext(aRetransmissionCount);
  aPending.expiresAt = aPending.nextSynDueAt + allowedDelay;
}

void
PendingFlows::markSent(PendingFlow& aPending,
                       const Core::Endpoint& aAgent,
                       Core::TimePoint aNow)
{
  removeFromQueue(aPending);
  aPending.agent = aAgent;
  aPending.forwardedAt = aNow;
  aPending.wasSent = true;
}

void
PendingFlows::markQueued(PendingFlow& aPending)
{
  aPending.agent = {};
  addToQueue(aPending);
}

void
PendingFlows::erase(const Packet::FlowKey& aFlow)
{
  const auto it = mPendingFlows.find(aFlow);
  if (it != mPendingFlows.end()) {
    removeFromQueue(it->second);
    mPendingFlows.erase(it);
  }
}

void
PendingFlows::addToQueue(const PendingFlow& aPending)
{
  const bool isNew =
    mQueuedFlows[endpointKey(aPending.flow.service)]
      .insert({ aPending.firstSentAt, aPending.number, aPending.flow })
      .second;
  mQueuedCount += isNew ? 1 : 0;
}

void
PendingFlows::removeFromQueue(const PendingFlow& aPending)
{
  const auto it = mQueuedFlows.find(endpointKey(aPending.flow.service));
  if (it != mQueuedFlows.end()) {
    mQueuedCount -= it->second.erase(
      { aPending.firstSentAt, aPending.number, aPending.flow });
  }
}

void
PendingFlows::removeEmptyAddresses()
{
  std::erase_if(mQueuedFlows,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::vector<PendingFlow>
PendingFlows::takeExpired(Core::TimePoint aNow)
{
  std::vector<PendingFlow> expired;
  absl::erase_if(mPendingFlows, [this, &expired, aNow](auto& aEntry) {
    const bool isExpired = aNow >= aEntry.second.expiresAt;
    if (isExpired) {
      removeFromQueue(aEntry.second);
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
  std::vector<std::pair<std::uint64_t, Packet::FlowKey>> unanswered;
  for (const auto& [flow, pending] : mPendingFlows) {
    if (!pending.isQueued() && aNow - pending.forwardedAt >= aTimeout) {
      unanswered.emplace_back(pending.number, flow);
    }
  }
  std::sort(unanswered.begin(),
            unanswered.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first < aRight.first;
            });
  std::vector<Packet::FlowKey> flows;
  flows.reserve(unanswered.size());
  for (const auto& [number, flow] : unanswered) {
    flows.push_back(flow);
  }
  return flows;
}

} // namespace Steering
