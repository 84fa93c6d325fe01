#include "ownership/flowqueue.h"

#include <algorithm>

namespace Ownership {

bool
FlowQueue::insert(const IncomingPacket& aIncoming,
                  std::chrono::milliseconds aWaitLimit,
                  Core::TimePoint aNow)
{
  const auto it =
    std::find_if(mFlows.begin(), mFlows.end(), [&](const QueuedFlow& aFlow) {
      return aFlow.flow == aIncoming.flow;
    });
  if (it != mFlows.end() && it->isLastAttempt) {
    return false;
  }
  if (it != mFlows.end()) {
    it->isPlaced = false;
    it->retryAt = aNow + kRetryInterval;
    if (aIncoming.needsClaim()) {
      // Excludes the agents that returned the flow: an agent that rejected a
      // claimed flow will never admit it.
      it->header.route = aIncoming.header.route;
    }
    return true;
  }
  if (mFlows.size() >= kMaxQueuedFlows) {
    return false;
  }
  const auto bytes = aIncoming.packet.bytes();
  QueuedFlow flow;
  flow.packet.assign(bytes.begin(), bytes.end());
  flow.header = aIncoming.header;
  if (!aIncoming.needsClaim()) {
    flow.header.route.clear();
  }
  flow.flow = aIncoming.flow;
  flow.deadline = aNow + aWaitLimit;
  flow.retryAt = aNow;
  mFlows.push_back(std::move(flow));
  return true;
}

void
FlowQueue::eraseExpired(Core::TimePoint aNow)
{
  std::erase_if(
    mFlows, [aNow](const QueuedFlow& aFlow) { return aFlow.deadline <= aNow; });
}

} // namespace Ownership
