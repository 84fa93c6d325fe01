#include "steering/targetflowtable.h"

#include <utility>
#include <vector>

namespace Steering {

namespace {

bool
isSequenceAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

} // namespace

TargetFlow*
TargetFlowTable::find(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? nullptr : &it->second;
}

TargetFlow&
TargetFlowTable::touch(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& flow = mFlows[aFlow];
  flow.lastPacketAt = aNow;
  return flow;
}

void
TargetFlowTable::setLongLived(TargetFlow& aFlow, bool aIsLongLived)
{
  if (aIsLongLived && !aFlow.isEnded &&
      !std::exchange(aFlow.isLongLived, true)) {
    ++mLongLivedFlows;
  }
}

void
TargetFlowTable::expectRequest(const Packet::FlowKey& aKey,
                               TargetFlow& aFlow,
                               Core::TimePoint aNow)
{
  if (std::exchange(aFlow.isEnded, false)) {
    aFlow.hasCallerData = false;
    aFlow.hasCallerClosed = false;
  }
  if (aFlow.request == RequestState::None) {
    setRequest(aFlow, RequestState::Expected);
    mAdmittedFlows.push_back({ aNow, aKey });
  }
}

bool
TargetFlowTable::recordCallerData(TargetFlow& aFlow, std::uint32_t aSequence)
{
  const bool isRetransmission =
    aFlow.hasCallerData &&
    !isSequenceAfter(aSequence, aFlow.lastCallerSequence);
  if (isRetransmission) {
    return false;
  }
  aFlow.hasCallerData = true;
  aFlow.lastCallerSequence = aSequence;
  return true;
}

void
TargetFlowTable::markQueued(TargetFlow& aFlow)
{
  setRequest(aFlow, RequestState::Queued);
}

void
TargetFlowTable::markDelivered(const Packet::FlowKey& aKey,
                               TargetFlow& aFlow,
                               std::uint32_t aSlots,
                               Core::TimePoint aNow)
{
  if (aFlow.isEnded || aFlow.request == RequestState::Delivered) {
    return;
  }
  if (mDelivered >= aSlots) {
    mUnstarted.push_back(aKey);
  }
  setRequest(aFlow, RequestState::Delivered);
  aFlow.deliveredAt = aNow;
  aFlow.startedAt = aNow;
  recordReuse(aFlow);
}

void
TargetFlowTable::startNext(Core::TimePoint aNow)
{
  while (!mUnstarted.empty()) {
    auto* flow = find(mUnstarted.front());
    mUnstarted.pop_front();
    if (flow != nullptr && flow->request == RequestState::Delivered) {
      flow->startedAt = aNow;
      return;
    }
  }
}

void
TargetFlowTable::recordReuse(TargetFlow& aFlow)
{
  const bool isSecondRequest = std::exchange(aFlow.hasRequest, true);
  if (isSecondRequest && aFlow.isLongLived &&
      !std::exchange(aFlow.isReused, true)) {
    ++mReusedFlows;
    mFlowReuse.recordSecondRequest();
  }
}

void
TargetFlowTable::recordAnswer(TargetFlow& aFlow, Core::TimePoint aNow)
{
  if (aFlow.request != RequestState::Delivered) {
    return;
  }
  mServiceTime.record(aFlow.requestClass, aNow - aFlow.startedAt);
  mReturnedOpenFlows = 0;
  setRequest(aFlow, RequestState::None);
  startNext(aNow);
}

void
TargetFlowTable::recordReturned(const TargetFlow& aFlow)
{
  if (aFlow.isOpen() && ++mReturnedOpenFlows == kRestartThreshold) {
    mServiceTime.reset();
  }
}

void
TargetFlowTable::setRequest(TargetFlow& aFlow, RequestState aState)
{
  mExpected -= aFlow.request == RequestState::Expected ? 1 : 0;
  mDelivered -= aFlow.request == RequestState::Delivered ? 1 : 0;
  aFlow.request = aState;
  mExpected += aState == RequestState::Expected ? 1 : 0;
  mDelivered += aState == RequestState::Delivered ? 1 : 0;
}

void
TargetFlowTable::removeLoad(TargetFlow& aFlow)
{
  setRequest(aFlow, RequestState::None);
  if (aFlow.isLongLived && aFlow.hasRequest && !aFlow.isReused) {
    mFlowReuse.recordSingleRequest();
  }
  mReusedFlows -= std::exchange(aFlow.isReused, false) ? 1 : 0;
  mLongLivedFlows -= std::exchange(aFlow.isLongLived, false) ? 1 : 0;
  aFlow.hasRequest = false;
}

void
TargetFlowTable::markEnded(TargetFlow& aFlow)
{
  removeLoad(aFlow);
  aFlow.isEnded = true;
}

void
TargetFlowTable::markReset(TargetFlow& aFlow)
{
  markEnded(aFlow);
  aFlow.hasCallerClosed = true;
}

void
TargetFlowTable::forgetRequest(TargetFlow& aFlow)
{
  removeLoad(aFlow);
  aFlow.hasCallerData = false;
  aFlow.waitingSince = {};
}

void
TargetFlowTable::erase(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  if (it == mFlows.end()) {
    return;
  }
  markEnded(it->second);
  mFlows.erase(it);
}

void
TargetFlowTable::expire(Core::TimePoint aNow)
{
  releaseUnusedSlots(aNow);
  if (aNow - mLastSweepAt >= kSweepInterval) {
    mLastSweepAt = aNow;
    sweep(aNow);
  }
}

void
TargetFlowTable::releaseUnusedSlots(Core::TimePoint aNow)
{
  while (!mAdmittedFlows.empty() &&
         aNow - mAdmittedFlows.front().admittedAt >= kFirstRequestTimeout) {
    auto* flow = find(mAdmittedFlows.front().key);
    if (flow != nullptr && flow->request == RequestState::Expected) {
      setRequest(*flow, RequestState::None);
    }
    mAdmittedFlows.pop_front();
  }
}

void
TargetFlowTable::sweep(Core::TimePoint aNow)
{
  std::vector<Packet::FlowKey> expired;
  for (auto& [key, flow] : mFlows) {
    const bool isClosed = flow.isEnded && flow.hasCallerClosed;
    const auto timeout = isClosed ? kEndedFlowRetention : kIdleTimeout;
    if (aNow - flow.lastPacketAt >= timeout) {
      expired.push_back(key);
      continue;
    }
    const bool isTimedOut = flow.request == RequestState::Delivered &&
                            aNow - flow.deliveredAt >= kAnswerTimeout;
    if (isTimedOut) {
      setRequest(flow, RequestState::None);
    }
  }
  for (const auto& key : expired) {
    erase(key);
  }
}

std::chrono::milliseconds
TargetFlowTable::serviceTime() const
{
  return std::chrono::round<std::chrono::milliseconds>(mServiceTime.mean());
}

} // namespace Steering
