#include "steering/serviceorder.h"

#include <algorithm>
#include <bitset>

namespace Steering {

bool
WaitingRequest::isOnTime(Core::TimePoint aNow) const
{
  return aNow + ServiceOrder::kOnTimeReserve * serviceTime < lateAt;
}

bool
ServiceOrder::isServedBefore(const WaitingRequest& aLeft,
                             const WaitingRequest& aRight,
                             Core::TimePoint aNow)
{
  const bool isOnTime = aLeft.isOnTime(aNow);
  if (isOnTime != aRight.isOnTime(aNow)) {
    return isOnTime;
  }
  if (aLeft.priority != aRight.priority) {
    return aLeft.priority < aRight.priority;
  }
  // An agent that has just started may have both kinds in its queue.
  if (aLeft.hasServiceTime() != aRight.hasServiceTime()) {
    return aRight.hasServiceTime();
  }
  const bool isNewestFirst = isOnTime && !aLeft.hasServiceTime();
  if (aLeft.waitingSince != aRight.waitingSince) {
    return isNewestFirst == (aLeft.waitingSince > aRight.waitingSince);
  }
  return isNewestFirst == (aLeft.number > aRight.number);
}

bool
ServiceOrder::isShareDue(absl::Span<const WaitingRequest> aHeads,
                         std::uint8_t aPriority) const
{
  std::bitset<kClassCount> hasWaitedAsLong;
  for (const auto& head : aHeads) {
    if (mSlotsSinceService[head.priority] >= mSlotsSinceService[aPriority]) {
      hasWaitedAsLong.set(head.priority);
    }
  }
  return mSlotsSinceService[aPriority] + hasWaitedAsLong.count() >=
         kShareInterval;
}

std::size_t
ServiceOrder::selectNext(absl::Span<const WaitingRequest> aHeads,
                         Core::TimePoint aNow) const
{
  const bool isAnyShareDue =
    std::any_of(aHeads.begin(), aHeads.end(), [&](const auto& aHead) {
      return isShareDue(aHeads, aHead.priority);
    });
  const auto next = std::min_element(
    aHeads.begin(), aHeads.end(), [&](const auto& aLeft, const auto& aRight) {
      const auto leftSlots = mSlotsSinceService[aLeft.priority];
      const auto rightSlots = mSlotsSinceService[aRight.priority];
      if (isAnyShareDue && leftSlots != rightSlots) {
        return leftSlots > rightSlots;
      }
      return isServedBefore(aLeft, aRight, aNow);
    });
  return static_cast<std::size_t>(next - aHeads.begin());
}

void
ServiceOrder::recordServed(absl::Span<const WaitingRequest> aHeads,
                           std::size_t aServed)
{
  const auto servedPriority = aHeads[aServed].priority;
  std::bitset<kClassCount> isWaiting;
  for (const auto& head : aHeads) {
    isWaiting.set(head.priority);
  }
  for (const auto& head : aHeads) {
    auto& slots = mSlotsSinceService[head.priority];
    const bool isCounted = isWaiting.test(head.priority) &&
                           slots < std::numeric_limits<std::uint8_t>::max();
    slots += isCounted ? 1 : 0;
    isWaiting.reset(head.priority);
  }
  mSlotsSinceService[servedPriority] = 0;
}

std::chrono::milliseconds
ServiceOrder::expectedServiceTime(std::chrono::milliseconds aMean,
                                  std::chrono::milliseconds aLatencyObjective)
{
  return std::min(aMean, aLatencyObjective / 2 / kOnTimeReserve);
}

} // namespace Steering
