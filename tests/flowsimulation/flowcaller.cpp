#include "flowsimulation/flowcaller.h"

#include "platform/datagram.h"

#include <algorithm>
#include <array>
#include <utility>

namespace FlowTesting {

namespace {

/** Times of the SYN and its retransmissions; the last one is the timeout. */
constexpr std::array<std::chrono::milliseconds, 4> kSynTimes{
  std::chrono::milliseconds(0),
  std::chrono::milliseconds(200),
  std::chrono::milliseconds(600),
  std::chrono::milliseconds(1'400)
};
constexpr std::chrono::milliseconds kInitialRetransmitDelay{ 200 };
constexpr std::chrono::milliseconds kMaxRetransmitDelay{ 1'600 };

} // namespace

FlowCaller::FlowCaller(const Packet::FlowKey& aFlow,
                       std::vector<std::string> aRequests,
                       Core::Duration aPause,
                       Core::TimePoint aNow)
  : mFlow(aFlow)
  , mRequests(std::move(aRequests))
  , mPause(aPause)
  , mRequestStartedAt(aNow)
  , mNextSendAt(aNow)
{
}

std::vector<Bytes>
FlowCaller::takeDuePackets(Core::TimePoint aNow)
{
  std::vector<Bytes> due;
  if (std::exchange(mMustAcknowledge, false)) {
    const auto answerCount = static_cast<std::uint32_t>(mAnswerCount);
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kAck)
                    .sequence(answerCount + 1)
                    .acknowledgment(mPeerSequence + 1 + answerCount)
                    .write());
  }
  if (std::exchange(mMustClose, false)) {
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kFin | kAck)
                    .acknowledgment(mPeerSequence + 1)
                    .write());
  }
  if (aNow < mNextSendAt) {
    return due;
  }
  if (mState == FlowState::Connecting) {
    if (mSynCount + 1 == kSynTimes.size()) {
      mState = FlowState::TimedOut;
      return due;
    }
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kSyn)
                    .acknowledgment(mSynCount)
                    .write());
    ++mSynCount;
    mNextSendAt = mRequestStartedAt + kSynTimes[mSynCount];
  } else if (mState == FlowState::Open) {
    if (!mIsRequestPending) {
      beginRequest(aNow);
    }
    due.push_back(dataPacket());
    mNextSendAt = aNow + mRetransmitDelay;
    mRetransmitDelay =
      std::min<Core::Duration>(mRetransmitDelay * 2, kMaxRetransmitDelay);
  }
  return due;
}

void
FlowCaller::beginRequest(Core::TimePoint aNow)
{
  mIsRequestPending = true;
  mRetransmitDelay = kInitialRetransmitDelay;
  if (mAnswerCount > 0) {
    mRequestStartedAt = aNow;
  }
}

Bytes
FlowCaller::dataPacket() const
{
  const auto answerCount = static_cast<std::uint32_t>(mAnswerCount);
  return PacketWriter::toService(mFlow)
    .flags(kAck)
    .sequence(answerCount + 1)
    .acknowledgment(mPeerSequence + 1 + answerCount)
    .payload(mRequests[mAnswerCount])
    .write();
}

void
FlowCaller::handlePacket(const Bytes& aPacket, Core::TimePoint aNow)
{
  const auto packet = Platform::Datagram::parse(aPacket);
  if (packet->isReset()) {
    if (mState == FlowState::Connecting) {
      mState = FlowState::Refused;
    } else if (mState == FlowState::Open) {
      mState = FlowState::Broken;
    }
    return;
  }
  if (packet->isSynAck() && mState == FlowState::Connecting) {
    mState = FlowState::Open;
    mPeerSequence = packet->sequence();
    mNextSendAt = aNow;
    return;
  }
  if (mState != FlowState::Open || !packet->hasPayload()) {
    return;
  }
  const auto text = payloadText(aPacket);
  const bool isRetransmission =
    mAnswerCount > 0 && text == "done " + mRequests[mAnswerCount - 1];
  if (isRetransmission) {
    mMustAcknowledge = true;
    return;
  }
  if (text != "done " + mRequests[mAnswerCount]) {
    mHasUnexpectedAnswer = true;
    return;
  }
  mLatencies.push_back(aNow - mRequestStartedAt);
  ++mAnswerCount;
  mIsRequestPending = false;
  mMustAcknowledge = true;
  mNextSendAt = aNow + mPause;
  if (mAnswerCount == mRequests.size()) {
    mState = FlowState::Closed;
    mMustClose = true;
  }
}

} // namespace FlowTesting
