#pragma once

#include "flowsimulation/packetwriter.h"

#include "core/clock.h"

#include <string>
#include <vector>

namespace FlowTesting {

/** State of a flow, as its caller sees it. */
enum class FlowState
{
  Connecting,
  Open,
  /** All answers arrived, and the caller closed the flow. */
  Closed,
  /** Reset before it was open, so no request has run. */
  Refused,
  /** Reset while it was open. */
  Broken,
  /** No answer to the SYN and its retransmissions. */
  TimedOut,
};

/**
 * The caller of one flow, by the platform's flow rules. It retransmits the SYN
 * after 200 and 600 ms, sends its requests one after the other, and retransmits
 * unanswered requests with a backoff that starts at 200 ms.
 */
class FlowCaller
{
public:
  /** aPause is the time between an answer and the next request. */
  FlowCaller(const Packet::FlowKey& aFlow,
             std::vector<std::string> aRequests,
             Core::Duration aPause,
             Core::TimePoint aNow);

  /** Returns the packets that are due now. */
  std::vector<Bytes> takeDuePackets(Core::TimePoint aNow);
  void handlePacket(const Bytes& aPacket, Core::TimePoint aNow);

  const Packet::FlowKey& flow() const { return mFlow; }
  FlowState state() const { return mState; }
  const std::vector<std::string>& requests() const { return mRequests; }
  std::size_t answerCount() const { return mAnswerCount; }
  /**
   * Time to each answer: from the SYN for the first request, from the request
   * for the others.
   */
  const std::vector<Core::Duration>& latencies() const { return mLatencies; }
  /** True after an answer to neither the current nor the previous request. */
  bool hasUnexpectedAnswer() const { return mHasUnexpectedAnswer; }

private:
  Bytes dataPacket() const;
  void beginRequest(Core::TimePoint aNow);

  Packet::FlowKey mFlow;
  std::vector<std::string> mRequests;
  Core::Duration mPause;
  FlowState mState = FlowState::Connecting;
  Core::TimePoint mRequestStartedAt;
  Core::TimePoint mNextSendAt;
  Core::Duration mRetransmitDelay{};
  std::uint32_t mSynCount = 0;
  std::uint32_t mPeerSequence = 0;
  std::size_t mAnswerCount = 0;
  bool mIsRequestPending = false;
  bool mMustAcknowledge = false;
  bool mMustClose = false;
  bool mHasUnexpectedAnswer = false;
  std::vector<Core::Duration> mLatencies;
};

} // namespace FlowTesting
