#pragma once

#include "flowworld/packetwriter.h"

#include "core/clock.h"

#include <string>
#include <vector>

namespace FlowWorld {

/** Where a caller's attempt stands. */
enum class AttemptState
{
  Opening,
  Open,
  /** Every answer came, and the flow was closed. */
  Closed,
  /** A reset before the flow was open: nothing has run. */
  Refused,
  /** A reset of an open flow. */
  Broken,
  /** No answer to any copy of the opening packet. */
  Unanswered,
};

/**
 * One attempt of a caller by the platform's flow rules: copies of the opening
 * packet after 200 and 600 ms, data sent again from 200 ms on, and as many
 * requests as it was given, one after the other.
 */
class FlowCaller
{
public:
  FlowCaller(const Packet::FlowKey& aFlow,
             std::vector<std::string> aRequests,
             Core::Duration aPause,
             Core::TimePoint aNow);

  /** Packets that are due. */
  std::vector<Bytes> takeDue(Core::TimePoint aNow);
  void handlePacket(const Bytes& aPacket, Core::TimePoint aNow);

  const Packet::FlowKey& flow() const { return mFlow; }
  AttemptState state() const { return mState; }
  const std::vector<std::string>& requests() const { return mRequests; }
  std::size_t answered() const { return mAnswered; }
  /** Times from the first packet, or the request, to each answer. */
  const std::vector<Core::Duration>& times() const { return mTimes; }
  /** Answers to requests that it did not make. */
  bool hasStrangeAnswer() const { return mHasStrangeAnswer; }

private:
  Bytes dataPacket() const;
  void beginRequest(Core::TimePoint aNow);

  Packet::FlowKey mFlow;
  std::vector<std::string> mRequests;
  Core::Duration mPause;
  AttemptState mState = AttemptState::Opening;
  Core::TimePoint mStartedAt;
  Core::TimePoint mSendAt;
  Core::Duration mResendAfter{};
  std::uint32_t mCopies = 0;
  std::uint32_t mPeerSequence = 0;
  std::size_t mAnswered = 0;
  bool mIsAsking = false;
  bool mMustAcknowledge = false;
  bool mMustClose = false;
  bool mHasStrangeAnswer = false;
  std::vector<Core::Duration> mTimes;
};

} // namespace FlowWorld
