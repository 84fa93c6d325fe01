#include "steering/queuedflows.h"

#include <iterator>
#include <limits>

namespace Steering {

QueuedFlowCursor::QueuedFlowCursor(const QueuedFlowSet& aFlows,
                                   const QueuedFlowLimits& aLimits,
                                   Core::TimePoint aNow)
  : mFlows(&aFlows)
  , mLimits(aLimits)
  , mLateUntil(aNow + aLimits.onTimeReserve() - aLimits.latencyObjective)
{
  constexpr auto kLastNumber = std::numeric_limits<std::uint64_t>::max();
  const auto firstOnTime = aFlows.upper_bound({ mLateUntil, kLastNumber, {} });
  const bool isAnyOnTime = firstOnTime != aFlows.end();
  setOnTime(isNewestFirst() && isAnyOnTime ? std::prev(aFlows.end())
                                           : firstOnTime);
}

WaitingRequest
QueuedFlowCursor::request() const
{
  WaitingRequest request;
  request.priority = mLimits.priority;
  request.waitingSince = mCurrent->firstSentAt;
  request.lateAt = mCurrent->firstSentAt + mLimits.latencyObjective;
  request.expiresAt = mCurrent->firstSentAt + mLimits.timeout;
  request.serviceTime = mLimits.serviceTime;
  request.number = mCurrent->number;
  return request;
}

void
QueuedFlowCursor::advance()
{
  if (!mIsOnTime) {
    setLate(mFlows->upper_bound(*mCurrent));
    return;
  }
  if (!isNewestFirst()) {
    setOnTime(mFlows->upper_bound(*mCurrent));
    return;
  }
  const auto position = mFlows->lower_bound(*mCurrent);
  setOnTime(position == mFlows->begin() ? mFlows->end() : std::prev(position));
}

void
QueuedFlowCursor::skipOnTime()
{
  if (mIsOnTime && mCurrent) {
    moveToLate();
  }
}

void
QueuedFlowCursor::setOnTime(QueuedFlowSet::const_iterator aPosition)
{
  if (aPosition != mFlows->end() && aPosition->firstSentAt > mLateUntil) {
    mCurrent = *aPosition;
  } else {
    moveToLate();
  }
}

void
QueuedFlowCursor::moveToLate()
{
  mIsOnTime = false;
  setLate(mFlows->lower_bound({ mLimits.earliest, 0, {} }));
}

void
QueuedFlowCursor::setLate(QueuedFlowSet::const_iterator aPosition)
{
  if (aPosition != mFlows->end() && aPosition->firstSentAt <= mLateUntil) {
    mCurrent = *aPosition;
  } else {
    mCurrent.reset();
  }
}

} // namespace Steering
