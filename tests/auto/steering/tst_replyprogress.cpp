#include "steering/replyprogress.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using Steering::ReplyProgress;
using Steering::SendTime;
using Steering::toSendTime;

constexpr Core::TimePoint kStart{ 100s };

} // namespace

TEST_CASE("the newest send time that was answered is the progress")
{
  ReplyProgress replies;
  replies.recordMessage(kStart - 20ms);
  CHECK(replies.answeredUntil() == Core::TimePoint{});
  CHECK(replies.recordReply(toSendTime(kStart), kStart + 40ms));
  CHECK(replies.answeredUntil() == kStart);
  CHECK(replies.lastReplyTime() == 40ms);
  CHECK_FALSE(replies.recordReply(toSendTime(kStart - 20ms), kStart + 50ms));
  CHECK(replies.answeredUntil() == kStart);
  CHECK(replies.lastReplyTime() == 40ms);
}

TEST_CASE("the progress continues when the send time overflows")
{
  constexpr Core::TimePoint kBeforeOverflow{ 0xFFFFFFFFms };
  ReplyProgress replies;
  replies.recordMessage(kBeforeOverflow);
  replies.recordReply(toSendTime(kBeforeOverflow), kBeforeOverflow + 10ms);
  CHECK(replies.answeredUntil() == kBeforeOverflow);
  replies.recordReply(toSendTime(kBeforeOverflow + 30ms),
                      kBeforeOverflow + 50ms);
  CHECK(replies.answeredUntil() == kBeforeOverflow + 30ms);
}

TEST_CASE("a send time of another incarnation of the balancer is ignored")
{
  ReplyProgress replies;
  CHECK_FALSE(replies.recordReply(toSendTime(kStart - 10ms), kStart));
  replies.recordMessage(kStart);
  CHECK_FALSE(replies.recordReply(toSendTime(kStart - 10ms), kStart + 5ms));
  CHECK_FALSE(replies.recordReply(toSendTime(kStart + 1ms), kStart));
  CHECK_FALSE(replies.recordReply(SendTime(0), kStart + 5ms));
  CHECK(replies.answeredUntil() == Core::TimePoint{});
}
