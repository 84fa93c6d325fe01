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
 * agent. Replies that wait in the balancer's own link or socket do not count as
 * answered, so a delay of the balancer itself is told from the silence of an
 * agent. Not thread-safe.
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

  /** The newest send time that was answered; null if there is none. */
  Core::TimePoint answeredUntil() const { return mAnsweredUntil; }
  /** Time from sending to the reply that advanced the progress last. */
  std::chrono::milliseconds lastReplyTime() const { return mLastReplyTime; }

private:
  /** When the first message was sent; null before. */
  Core::TimePoint mFirstSentAt{};
  Core::TimePoint mAnsweredUntil{};
  std::chrono::milliseconds mLastReplyTime{ 0 };
};

} // namespace Steering
