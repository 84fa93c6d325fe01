#include "steering/requestqueue.h"

#include <algorithm>
#include <utility>

namespace Steering {

namespace {

/** True when aLeft goes before aRight. */
bool
goesFirst(const HeldRequest& aLeft,
          const HeldRequest& aRight,
          Core::TimePoint aNow)
{
  const bool isLeftFresh = aNow < aLeft.lateAt;
  const bool isRightFresh = aNow < aRight.lateAt;
  if (isLeftFresh != isRightFresh) {
    return isLeftFresh;
  }
  return isLeftFresh ? aLeft.startedAt > aRight.startedAt
                     : aLeft.startedAt < aRight.startedAt;
}

} // namespace

void
RequestQueue::add(HeldRequest aRequest)
{
  const auto flow = aRequest.flow;
  mRequests[flow] = std::move(aRequest);
}

void
RequestQueue::append(const Packet::FlowKey& aFlow,
                     std::vector<std::uint8_t> aPacket)
{
  const auto it = mRequests.find(aFlow);
  if (it != mRequests.end() && it->second.packets.size() < kMostPackets) {
    it->second.packets.push_back(std::move(aPacket));
  }
}

std::optional<HeldRequest>
RequestQueue::takeNext(Core::TimePoint aNow)
{
  const auto best =
    std::min_element(mRequests.begin(),
                     mRequests.end(),
                     [aNow](const auto& aLeft, const auto& aRight) {
                       return goesFirst(aLeft.second, aRight.second, aNow);
                     });
  if (best == mRequests.end()) {
    return std::nullopt;
  }
  auto request = std::move(best->second);
  mRequests.erase(best);
  return request;
}

std::vector<Packet::FlowKey>
RequestQueue::takeUseless(Core::TimePoint aNow)
{
  std::vector<Packet::FlowKey> flows;
  absl::erase_if(mRequests, [&flows, aNow](const auto& aEntry) {
    const bool isUseless = aNow >= aEntry.second.uselessAt;
    if (isUseless) {
      flows.push_back(aEntry.first);
    }
    return isUseless;
  });
  return flows;
}

std::uint32_t
RequestQueue::freshCount(Core::TimePoint aNow) const
{
  return static_cast<std::uint32_t>(std::count_if(
    mRequests.begin(), mRequests.end(), [aNow](const auto& aEntry) {
      return aNow < aEntry.second.lateAt;
    }));
}

} // namespace Steering
