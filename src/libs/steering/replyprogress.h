#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace Steering {

/**
 * A time of a balancer's clock in its messages to agents, modulo 2^32 ms.
 * Agents return it unchanged.
 */
using SendTime = std::chrono::duration<std::uint32_t, std::milli>;

SendTime
toSendTime(Core::TimePoint aTime);

/**
 * Records up to which send time a balancer's messages have been answered by any
 * agent. A reply counts as overdue only if a message that was sent later was
 * answered: messages and replies that wait in the balancer's own link or socket
 * delay all agents, so that such a delay is not taken for the silence of one.
 * Not thread-safe.
 */
class ReplyProgress
{
public:
  /** A reply to an older message is ignored. */
  static constexpr std::chrono::seconds kMaxReplyTime{ 30 };

  void recordMessage(Core::TimePoint aNow);
  /**
   * An agent that sent a message had received the one sent at aSendTime.
   * Returns whether it is the newest one so far. One of a previous incarnation
   * of the balancer is ignored.
   */
  bool recordReply(SendTime aSendTime, Core::TimePoint aNow);

  /**
   * Whether the reply to a message sent at aSentAt is overdue: a message sent
   * at least aTimeout later was answered. If none was, evidence is missing.
   */
  bool isOverdue(Core::TimePoint aSentAt,
                 std::chrono::milliseconds aTimeout,
                 Core::TimePoint aNow);
  /**
   * Since when isOverdue() cannot decide and no newer message was answered;
   * null if it can. The reply to any new message provides the evidence.
   */
  Core::TimePoint evidenceMissingSince() const { return mEvidenceMissingSince; }
  bool isEvidenceMissing() const
  {
    return mEvidenceMissingSince != Core::TimePoint{};
  }

  /** The newest send time that was answered; null if there is none. */
  Core::TimePoint answeredUntil() const { return mAnsweredUntil; }
  /** Time from sending to the reply that advanced the progress last. */
  std::chrono::milliseconds lastReplyTime() const { return mLastReplyTime; }

private:
  /** When the first message was sent; null before. */
  Core::TimePoint mFirstSentAt{};
  Core::TimePoint mAnsweredUntil{};
  std::chrono::milliseconds mLastReplyTime{ 0 };
  Core::TimePoint mEvidenceMissingSince{};
};

} // namespace Steering
