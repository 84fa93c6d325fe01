#include "ownership/waitingflows.h"

#include <algorithm>

namespace Ownership {

bool
WaitingFlows::insert(const Arrival& aArrival,
                     std::chrono::milliseconds aLimit,
                     Core::TimePoint aNow)
{
  const auto it =
    std::find_if(mFlows.begin(), mFlows.end(), [&](const WaitingFlow& aFlow) {
      return aFlow.flow == aArrival.flow;
    });
  if (it != mFlows.end() && it->isLastTry) {
    return false;
  }
  if (it != mFlows.end()) {
    it->isPlaced = false;
    it->retryAt = aNow + kRetryInterval;
    if (aArrival.needsClaim()) {
      // An agent that turned a claimed flow away will never admit it.
      it->header.route = aArrival.header.route;
    }
    return true;
  }
  if (mFlows.size() >= kMostWaiting) {
    return false;
  }
  const auto bytes = aArrival.packet.bytes();
  WaitingFlow flow;
  flow.packet.assign(bytes.begin(), bytes.end());
  flow.header = aArrival.header;
  if (!aArrival.needsClaim()) {
    flow.header.route.clear();
  }
  flow.flow = aArrival.flow;
  flow.deadline = aNow + aLimit;
  flow.retryAt = aNow;
  mFlows.push_back(std::move(flow));
  return true;
}

void
WaitingFlows::eraseOverdue(Core::TimePoint aNow)
{
  std::erase_if(mFlows, [aNow](const WaitingFlow& aFlow) {
    return aFlow.deadline <= aNow;
  });
}

} // namespace Ownership
