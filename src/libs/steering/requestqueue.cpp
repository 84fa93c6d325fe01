#include "steering/requestqueue.h"

#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <utility>

namespace Steering {

void
RequestQueue::add(QueuedRequest aRequest)
{
  aRequest.waiting.number = ++mLastNumber;
  const auto flow = aRequest.flow;
  erase(flow);
  mClosedCount += aRequest.hasCallerClosed ? 1 : 0;
  mRequests[flow] = std::move(aRequest);
}

void
RequestQueue::erase(const Packet::FlowKey& aFlow)
{
  const auto it = mRequests.find(aFlow);
  if (it != mRequests.end()) {
    mClosedCount -= it->second.hasCallerClosed ? 1 : 0;
    mRequests.erase(it);
  }
}

void
RequestQueue::markCallerClosed(const Packet::FlowKey& aFlow)
{
  const auto it = mRequests.find(aFlow);
  if (it != mRequests.end() &&
      !std::exchange(it->second.hasCallerClosed, true)) {
    ++mClosedCount;
  }
}

void
RequestQueue::appendPacket(const Packet::FlowKey& aFlow,
                           std::vector<std::uint8_t> aPacket)
{
  const auto it = mRequests.find(aFlow);
  if (it != mRequests.end() &&
      it->second.packets.size() < kMaxPacketsPerRequest) {
    it->second.packets.push_back(std::move(aPacket));
  }
}

std::optional<QueuedRequest>
RequestQueue::takeNext(Core::TimePoint aNow)
{
  if (mRequests.empty()) {
    return std::nullopt;
  }
  constexpr std::size_t kUsualClassCount = 4;
  absl::InlinedVector<WaitingRequest, kUsualClassCount> heads;
  absl::InlinedVector<Packet::FlowKey, kUsualClassCount> flows;
  const bool isAnyOpen = openCount() > 0;
  for (const auto& [flow, request] : mRequests) {
    if (isAnyOpen && request.hasCallerClosed) {
      continue;
    }
    const auto& waiting = request.waiting;
    const auto head =
      std::find_if(heads.begin(), heads.end(), [&waiting](const auto& aHead) {
        return aHead.priority == waiting.priority;
      });
    if (head == heads.end()) {
      heads.push_back(waiting);
      flows.push_back(flow);
    } else if (ServiceOrder::isServedBefore(waiting, *head, aNow)) {
      *head = waiting;
      flows[static_cast<std::size_t>(head - heads.begin())] = flow;
    }
  }
  const auto next = mOrder.selectNext(heads, aNow);
  mOrder.recordServed(heads, next);
  const auto it = mRequests.find(flows[next]);
  auto request = std::move(it->second);
  mClosedCount -= request.hasCallerClosed ? 1 : 0;
  mRequests.erase(it);
  return request;
}

std::vector<QueuedRequest>
RequestQueue::takeUnanswerable(Core::TimePoint aNow)
{
  std::vector<QueuedRequest> requests;
  absl::erase_if(mRequests, [this, &requests, aNow](auto& aEntry) {
    const bool isAnswerable = aEntry.second.waiting.isAnswerable(aNow);
    if (!isAnswerable) {
      mClosedCount -= aEntry.second.hasCallerClosed ? 1 : 0;
      requests.push_back(std::move(aEntry.second));
    }
    return !isAnswerable;
  });
  std::sort(requests.begin(),
            requests.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.waiting.number < aRight.waiting.number;
            });
  return requests;
}

std::uint32_t
RequestQueue::onTimeCount(Core::TimePoint aNow) const
{
  return static_cast<std::uint32_t>(std::count_if(
    mRequests.begin(), mRequests.end(), [aNow](const auto& aEntry) {
      return !aEntry.second.hasCallerClosed &&
             aEntry.second.waiting.isOnTime(aNow);
    }));
}

std::uint32_t
RequestQueue::countAhead(const WaitingRequest& aNew, Core::TimePoint aNow) const
{
  const bool isNewOnTime = aNew.isOnTime(aNow);
  std::uint32_t ahead = 0;
  std::uint32_t ownClass = 0;
  for (const auto& [flow, request] : mRequests) {
    if (request.hasCallerClosed) {
      continue;
    }
    const auto& waiting = request.waiting;
    const bool isOnTime = waiting.isOnTime(aNow);
    const bool isUrgent = waiting.priority <= aNew.priority;
    const bool isAhead =
      isNewOnTime ? isOnTime && isUrgent : isOnTime || isUrgent;
    ahead += isAhead ? 1 : 0;
    ownClass += isAhead && waiting.priority == aNew.priority ? 1 : 0;
  }
  return std::min(ahead, ServiceOrder::kShareInterval * (ownClass + 1U));
}

} // namespace Steering
