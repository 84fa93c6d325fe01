#include "steering/queuedflows.h"

#include <iterator>

namespace Steering {

QueuedFlowCursor::QueuedFlowCursor(const QueuedFlowSet& aFlows,
                                   const QueuedFlowLimits& aLimits,
                                   Core::TimePoint aNow)
  : mFlows(&aFlows)
  , mLimits(aLimits)
  , mLateUntil(aNow + aLimits.serviceTime - aLimits.latencyObjective)
{
  if (!aFlows.empty() && aFlows.rbegin()->firstSentAt > mLateUntil) {
    mCurrent = *aFlows.rbegin();
  } else {
    moveToLate();
  }
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
  const auto position = mFlows->lower_bound(*mCurrent);
  if (position != mFlows->begin() &&
      std::prev(position)->firstSentAt > mLateUntil) {
    mCurrent = *std::prev(position);
  } else {
    moveToLate();
  }
}

void
QueuedFlowCursor::skipOnTime()
{
  if (mIsOnTime && mCurrent) {
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
