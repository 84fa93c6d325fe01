#include "flowworld/flowcaller.h"

#include "platform/datagram.h"

#include <algorithm>
#include <array>
#include <utility>

namespace FlowWorld {

namespace {

constexpr std::array<std::chrono::milliseconds, 4> kOpeningTimes{
  std::chrono::milliseconds(0),
  std::chrono::milliseconds(200),
  std::chrono::milliseconds(600),
  std::chrono::milliseconds(1'400)
};
constexpr std::chrono::milliseconds kFirstResend{ 200 };
constexpr std::chrono::milliseconds kMostResend{ 1'600 };

} // namespace

FlowCaller::FlowCaller(const Packet::FlowKey& aFlow,
                       std::vector<std::string> aRequests,
                       Core::Duration aPause,
                       Core::TimePoint aNow)
  : mFlow(aFlow)
  , mRequests(std::move(aRequests))
  , mPause(aPause)
  , mStartedAt(aNow)
  , mSendAt(aNow)
{
}

std::vector<Bytes>
FlowCaller::takeDue(Core::TimePoint aNow)
{
  std::vector<Bytes> due;
  if (std::exchange(mMustAcknowledge, false)) {
    const auto answered = static_cast<std::uint32_t>(mAnswered);
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kAck)
                    .sequence(answered + 1)
                    .acknowledgment(mPeerSequence + 1 + answered)
                    .write());
  }
  if (std::exchange(mMustClose, false)) {
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kFin | kAck)
                    .acknowledgment(mPeerSequence + 1)
                    .write());
  }
  if (aNow < mSendAt) {
    return due;
  }
  if (mState == AttemptState::Opening) {
    if (mCopies + 1 == kOpeningTimes.size()) {
      mState = AttemptState::Unanswered;
      return due;
    }
    due.push_back(PacketWriter::toService(mFlow)
                    .flags(kSyn)
                    .acknowledgment(mCopies)
                    .write());
    ++mCopies;
    mSendAt = mStartedAt + kOpeningTimes[mCopies];
  } else if (mState == AttemptState::Open) {
    if (!mIsAsking) {
      beginRequest(aNow);
    }
    due.push_back(dataPacket());
    mSendAt = aNow + mResendAfter;
    mResendAfter = std::min<Core::Duration>(mResendAfter * 2, kMostResend);
  }
  return due;
}

void
FlowCaller::beginRequest(Core::TimePoint aNow)
{
  mIsAsking = true;
  mResendAfter = kFirstResend;
  if (mAnswered > 0) {
    mStartedAt = aNow;
  }
}

Bytes
FlowCaller::dataPacket() const
{
  const auto answered = static_cast<std::uint32_t>(mAnswered);
  return PacketWriter::toService(mFlow)
    .flags(kAck)
    .sequence(answered + 1)
    .acknowledgment(mPeerSequence + 1 + answered)
    .data(mRequests[mAnswered])
    .write();
}

void
FlowCaller::handlePacket(const Bytes& aPacket, Core::TimePoint aNow)
{
  const auto packet = Platform::Datagram::parse(aPacket);
  if (packet->isReset()) {
    if (mState == AttemptState::Opening) {
      mState = AttemptState::Refused;
    } else if (mState == AttemptState::Open) {
      mState = AttemptState::Broken;
    }
    return;
  }
  if (packet->isSynAck() && mState == AttemptState::Opening) {
    mState = AttemptState::Open;
    mPeerSequence = packet->sequence();
    mSendAt = aNow;
    return;
  }
  if (mState != AttemptState::Open || !packet->hasPayload()) {
    return;
  }
  const auto text = dataOf(aPacket);
  const bool isCopy =
    mAnswered > 0 && text == "done " + mRequests[mAnswered - 1];
  if (isCopy) {
    mMustAcknowledge = true;
    return;
  }
  if (text != "done " + mRequests[mAnswered]) {
    mHasStrangeAnswer = true;
    return;
  }
  mTimes.push_back(aNow - mStartedAt);
  ++mAnswered;
  mIsAsking = false;
  mMustAcknowledge = true;
  mSendAt = aNow + mPause;
  if (mAnswered == mRequests.size()) {
    mState = AttemptState::Closed;
    mMustClose = true;
  }
}

} // namespace FlowWorld
