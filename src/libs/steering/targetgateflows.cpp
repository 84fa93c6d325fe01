#include "steering/targetgateflows.h"

#include <utility>
#include <vector>

namespace Steering {

namespace {

/** Weight of the newest request in the smoothed time: about the last ten. */
constexpr double kSmoothing = 0.1;

bool
isAfter(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) > 0;
}

} // namespace

GatedFlow*
TargetGateFlows::find(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? nullptr : &it->second;
}

GatedFlow&
TargetGateFlows::touch(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& flow = mFlows[aFlow];
  flow.lastPacketAt = aNow;
  return flow;
}

void
TargetGateFlows::noteLong(GatedFlow& aFlow, bool aIsLong)
{
  if (aIsLong && !aFlow.isEnded && !std::exchange(aFlow.isLong, true)) {
    ++mLongFlows;
  }
}

void
TargetGateFlows::expectRequest(const Packet::FlowKey& aKey,
                               GatedFlow& aFlow,
                               Core::TimePoint aNow)
{
  if (std::exchange(aFlow.isEnded, false)) {
    aFlow.hasCallerData = false;
  }
  if (aFlow.request == RequestState::None) {
    setRequest(aFlow, RequestState::Expected);
    mOpened.push_back({ aNow, aKey });
  }
}

bool
TargetGateFlows::noteCallerData(GatedFlow& aFlow, std::uint32_t aSequence)
{
  const bool isRepeated =
    aFlow.hasCallerData && !isAfter(aSequence, aFlow.lastCallerSequence);
  if (isRepeated) {
    return false;
  }
  aFlow.hasCallerData = true;
  aFlow.lastCallerSequence = aSequence;
  return true;
}

void
TargetGateFlows::noteHeld(GatedFlow& aFlow)
{
  setRequest(aFlow, RequestState::Held);
}

void
TargetGateFlows::noteDelivered(GatedFlow& aFlow, Core::TimePoint aNow)
{
  if (!aFlow.isEnded && aFlow.request != RequestState::Delivered) {
    setRequest(aFlow, RequestState::Delivered);
    aFlow.deliveredAt = aNow;
  }
}

void
TargetGateFlows::noteAnswer(GatedFlow& aFlow, Core::TimePoint aNow)
{
  if (aFlow.request != RequestState::Delivered) {
    return;
  }
  const auto taken =
    std::chrono::duration<double, std::milli>(aNow - aFlow.deliveredAt);
  mServiceTime += kSmoothing * (taken - mServiceTime);
  setRequest(aFlow, RequestState::None);
}

void
TargetGateFlows::setRequest(GatedFlow& aFlow, RequestState aState)
{
  mExpected -= aFlow.request == RequestState::Expected ? 1 : 0;
  mDelivered -= aFlow.request == RequestState::Delivered ? 1 : 0;
  aFlow.request = aState;
  mExpected += aState == RequestState::Expected ? 1 : 0;
  mDelivered += aState == RequestState::Delivered ? 1 : 0;
}

void
TargetGateFlows::noteEnd(GatedFlow& aFlow)
{
  setRequest(aFlow, RequestState::None);
  mLongFlows -= std::exchange(aFlow.isLong, false) ? 1 : 0;
  aFlow.isEnded = true;
}

void
TargetGateFlows::erase(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  if (it == mFlows.end()) {
    return;
  }
  noteEnd(it->second);
  mFlows.erase(it);
}

void
TargetGateFlows::expire(Core::TimePoint aNow)
{
  endUnused(aNow);
  if (aNow - mSweptAt >= kSweepInterval) {
    mSweptAt = aNow;
    sweep(aNow);
  }
}

void
TargetGateFlows::endUnused(Core::TimePoint aNow)
{
  while (!mOpened.empty() && aNow - mOpened.front().at >= kRequestPatience) {
    auto* flow = find(mOpened.front().flow);
    if (flow != nullptr && flow->request == RequestState::Expected) {
      setRequest(*flow, RequestState::None);
    }
    mOpened.pop_front();
  }
}

void
TargetGateFlows::sweep(Core::TimePoint aNow)
{
  std::vector<Packet::FlowKey> idle;
  for (auto& [key, flow] : mFlows) {
    const auto idleTime = flow.isEnded ? kEndedTime : kIdleTime;
    if (aNow - flow.lastPacketAt >= idleTime) {
      idle.push_back(key);
      continue;
    }
    const bool isOver = flow.request == RequestState::Delivered &&
                        aNow - flow.deliveredAt >= kRequestLimit;
    if (isOver) {
      setRequest(flow, RequestState::None);
    }
  }
  for (const auto& key : idle) {
    erase(key);
  }
}

std::chrono::milliseconds
TargetGateFlows::serviceTime() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(mServiceTime);
}

} // namespace Steering
