#include "steering/targetgateflows.h"

#include "steering/slotwait.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace Steering {

namespace {

/** Weight of the newest request in the smoothed time: about the last ten. */
constexpr double kSmoothing = 0.1;

std::uint16_t
narrow(std::uint32_t aValue)
{
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(std::min(aValue, kMost));
}

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
TargetGateFlows::noteOpening(const Packet::FlowKey& aKey,
                             GatedFlow& aFlow,
                             bool aIsLong,
                             Core::TimePoint aNow)
{
  if (std::exchange(aFlow.isEnded, false)) {
    aFlow.hasCallerData = false;
  }
  noteLong(aFlow, aIsLong);
  if (aFlow.requestAt == Core::TimePoint{}) {
    aFlow.requestAt = aNow;
    ++mInProgress;
    mOpened.push_back({ aNow, aKey });
  }
}

void
TargetGateFlows::noteLong(GatedFlow& aFlow, bool aIsLong)
{
  if (aIsLong && !aFlow.isEnded && !std::exchange(aFlow.isLong, true)) {
    ++mLongFlows;
  }
}

void
TargetGateFlows::noteCallerData(GatedFlow& aFlow,
                                std::uint32_t aSequence,
                                std::uint32_t aSlots,
                                Core::TimePoint aNow)
{
  const bool isRepeated =
    aFlow.hasCallerData && !isAfter(aSequence, aFlow.lastCallerSequence);
  if (isRepeated || aFlow.isEnded) {
    return;
  }
  aFlow.hasCallerData = true;
  aFlow.lastCallerSequence = aSequence;
  if (aFlow.requestAt == Core::TimePoint{}) {
    ++mInProgress;
    aFlow.requestAt = aNow;
  }
  aFlow.startedAtOnce = mInProgress <= aSlots;
}

void
TargetGateFlows::noteAnswer(GatedFlow& aFlow, Core::TimePoint aNow)
{
  if (aFlow.requestAt == Core::TimePoint{}) {
    return;
  }
  if (aFlow.startedAtOnce) {
    const auto taken =
      std::chrono::duration<double, std::milli>(aNow - aFlow.requestAt);
    mServiceTime += kSmoothing * (taken - mServiceTime);
  }
  endRequest(aFlow);
}

void
TargetGateFlows::endRequest(GatedFlow& aFlow)
{
  if (aFlow.requestAt != Core::TimePoint{}) {
    aFlow.requestAt = {};
    --mInProgress;
  }
}

void
TargetGateFlows::noteEnd(GatedFlow& aFlow)
{
  endRequest(aFlow);
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
    if (flow != nullptr && !flow->hasCallerData) {
      endRequest(*flow);
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
    const bool isOver = flow.requestAt != Core::TimePoint{} &&
                        aNow - flow.requestAt >= kRequestLimit;
    if (isOver) {
      endRequest(flow);
    }
  }
  for (const auto& key : idle) {
    erase(key);
  }
}

std::chrono::milliseconds
TargetGateFlows::expectedWait(std::uint32_t aSlots) const
{
  return waitForSlot(
    mInProgress,
    aSlots,
    std::chrono::duration_cast<std::chrono::milliseconds>(mServiceTime));
}

ReportedLoad
TargetGateFlows::load() const
{
  ReportedLoad load;
  load.inProgress = narrow(mInProgress);
  load.longFlows = narrow(mLongFlows);
  load.serviceTime =
    std::chrono::duration_cast<std::chrono::milliseconds>(mServiceTime);
  return load;
}

} // namespace Steering
