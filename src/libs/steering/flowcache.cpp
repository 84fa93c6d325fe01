#include "steering/flowcache.h"

#include <algorithm>

namespace Steering {

bool
AgentSet::contains(const Core::Endpoint& aAgent) const
{
  return std::find(mAgents.begin(), mAgents.end(), aAgent) != mAgents.end();
}

void
AgentSet::add(const Core::Endpoint& aAgent)
{
  if (!contains(aAgent)) {
    mAgents.push_back(aAgent);
  }
}

void
AgentSet::remove(const Core::Endpoint& aAgent)
{
  const auto it = std::find(mAgents.begin(), mAgents.end(), aAgent);
  if (it != mAgents.end()) {
    mAgents.erase(it);
  }
}

CachedFlow*
FlowCache::find(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? nullptr : &it->second;
}

CachedFlow&
FlowCache::insert(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  // When the cache is full, the idle limit is halved until entries can be
  // removed.
  for (auto idle = std::chrono::nanoseconds(kIdleTimeout) / 2;
       mFlows.size() >= kCapacity;
       idle /= 2) {
    sweep(aNow, idle);
  }
  auto& flow = mFlows[aFlow];
  flow.lastPacketAt = aNow;
  return flow;
}

CachedFlow&
FlowCache::findOrInsert(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto* cachedFlow = find(aFlow);
  return cachedFlow != nullptr ? *cachedFlow : insert(aFlow, aNow);
}

void
FlowCache::expire(Core::TimePoint aNow)
{
  if (aNow - mLastSweepAt >= kSweepInterval) {
    mLastSweepAt = aNow;
    sweep(aNow, kIdleTimeout);
  }
}

void
FlowCache::sweep(Core::TimePoint aNow, std::chrono::nanoseconds aIdleTime)
{
  absl::erase_if(mFlows, [aNow, aIdleTime](const auto& aEntry) {
    return aNow - aEntry.second.lastPacketAt >= aIdleTime;
  });
}

} // namespace Steering
