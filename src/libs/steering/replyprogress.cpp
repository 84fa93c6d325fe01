#include "steering/replyprogress.h"

namespace Steering {

SendTime
toSendTime(Core::TimePoint aTime)
{
  const auto time = std::chrono::floor<std::chrono::milliseconds>(aTime);
  return SendTime(static_cast<std::uint32_t>(time.time_since_epoch().count()));
}

void
ReplyProgress::recordMessage(Core::TimePoint aNow)
{
  if (mFirstSentAt == Core::TimePoint{}) {
    mFirstSentAt = std::chrono::floor<std::chrono::milliseconds>(aNow);
  }
}

bool
ReplyProgress::recordReply(SendTime aSendTime, Core::TimePoint aNow)
{
  // The difference is modulo 2^32, as the send time is.
  const auto elapsed = SendTime(toSendTime(aNow).count() - aSendTime.count());
  if (elapsed > kMaxReplyTime || mFirstSentAt == Core::TimePoint{}) {
    return false;
  }
  const auto sentAt =
    std::chrono::floor<std::chrono::milliseconds>(aNow) - elapsed;
  if (sentAt < mFirstSentAt || sentAt <= mAnsweredUntil) {
    return false;
  }
  mAnsweredUntil = sentAt;
  mEvidenceMissingSince = {};
  mLastReplyTime =
    std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
  return true;
}

bool
ReplyProgress::isOverdue(Core::TimePoint aSentAt,
                         std::chrono::milliseconds aTimeout,
                         Core::TimePoint aNow)
{
  if (aNow - aSentAt < aTimeout) {
    return false;
  }
  const auto sentAt = std::chrono::floor<std::chrono::milliseconds>(aSentAt);
  const bool isOverdue = mAnsweredUntil >= sentAt + aTimeout;
  if (!isOverdue && !isEvidenceMissing()) {
    mEvidenceMissingSince = aNow;
  }
  return isOverdue;
}

} // namespace Steering
