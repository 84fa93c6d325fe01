#pragma once

#include "steering/serviceorder.h"

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/btree_set.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Steering {

/** A new flow that waits at its balancer, in order of the caller's first SYN.
 */
struct QueuedFlow
{
  /** When the caller sent the first SYN. */
  Core::TimePoint firstSentAt{};
  /** Order of arrival. Breaks ties. */
  std::uint64_t number = 0;
  Packet::FlowKey flow;

  bool operator<(const QueuedFlow& aOther) const
  {
    return firstSentAt != aOther.firstSentAt ? firstSentAt < aOther.firstSentAt
                                             : number < aOther.number;
  }
};

/** The queued flows of one route. */
using QueuedFlowSet = absl::btree_set<QueuedFlow>;

/** What the order of a route's queued flows depends on. */
struct QueuedFlowLimits
{
  std::uint8_t priority = 0;
  std::chrono::milliseconds latencyObjective{ 0 };
  std::chrono::milliseconds timeout{ 0 };
  std::chrono::milliseconds serviceTime{ 0 };
  /** Late flows whose first SYN was sent before this time are left out. */
  Core::TimePoint earliest = Core::TimePoint::min();

  std::chrono::milliseconds onTimeReserve() const
  {
    return ServiceOrder::kOnTimeReserve * serviceTime;
  }
};

/**
 * Walks the queued flows of a route: first those on time, then the late ones,
 * each the oldest first. If no service time is known, the newest of those on
 * time comes first. The set may change during the walk. Each step takes
 * logarithmic time.
 */
class QueuedFlowCursor
{
public:
  /** aFlows must outlive the cursor. */
  QueuedFlowCursor(const QueuedFlowSet& aFlows,
                   const QueuedFlowLimits& aLimits,
                   Core::TimePoint aNow);

  bool isAtEnd() const { return !mCurrent; }
  /** The cursor must not be at its end. */
  const Packet::FlowKey& flow() const { return mCurrent->flow; }
  bool isOnTime() const { return mIsOnTime; }
  std::uint8_t priority() const { return mLimits.priority; }
  /** The flow as a request that waits for a slot. */
  WaitingRequest request() const;

  void advance();
  /** Moves to the first late flow, unless the cursor is already past it. */
  void skipOnTime();
  void skipAll() { mCurrent.reset(); }

private:
  bool isNewestFirst() const { return mLimits.serviceTime.count() == 0; }
  void setOnTime(QueuedFlowSet::const_iterator aPosition);
  void moveToLate();
  void setLate(QueuedFlowSet::const_iterator aPosition);

  const QueuedFlowSet* mFlows;
  QueuedFlowLimits mLimits;
  /** Flows whose first SYN was sent at this time or before are late. */
  Core::TimePoint mLateUntil;
  std::optional<QueuedFlow> mCurrent;
  bool mIsOnTime = true;
};

} // namespace Steering
