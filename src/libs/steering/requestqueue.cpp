#include "steering/requestqueue.h"

#include <algorithm>
#include <utility>

namespace Steering {

namespace {

/** True if aLeft is served before aRight. */
bool
isServedBefore(const QueuedRequest& aLeft,
               const QueuedRequest& aRight,
               Core::TimePoint aNow)
{
  const bool isLeftOnTime = aNow < aLeft.lateAt;
  const bool isRightOnTime = aNow < aRight.lateAt;
  if (isLeftOnTime != isRightOnTime) {
    return isLeftOnTime;
  }
  return isLeftOnTime ? aLeft.waitingSince > aRight.waitingSince
                      : aLeft.waitingSince < aRight.waitingSince;
}

} // namespace

void
RequestQueue::add(QueuedRequest aRequest)
{
  const auto flow = aRequest.flow;
  mRequests[flow] = std::move(aRequest);
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
  const auto next =
    std::min_element(mRequests.begin(),
                     mRequests.end(),
                     [aNow](const auto& aLeft, const auto& aRight) {
                       return isServedBefore(aLeft.second, aRight.second, aNow);
                     });
  if (next == mRequests.end()) {
    return std::nullopt;
  }
  auto request = std::move(next->second);
  mRequests.erase(next);
  return request;
}

std::vector<Packet::FlowKey>
RequestQueue::takeExpired(Core::TimePoint aNow)
{
  std::vector<Packet::FlowKey> flows;
  absl::erase_if(mRequests, [&flows, aNow](const auto& aEntry) {
    const bool isExpired = aNow >= aEntry.second.expiresAt;
    if (isExpired) {
      flows.push_back(aEntry.first);
    }
    return isExpired;
  });
  return flows;
}

std::uint32_t
RequestQueue::onTimeCount(Core::TimePoint aNow) const
{
  return static_cast<std::uint32_t>(std::count_if(
    mRequests.begin(), mRequests.end(), [aNow](const auto& aEntry) {
      return aNow < aEntry.second.lateAt;
    }));
}

} // namespace Steering
