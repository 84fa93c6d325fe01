#include "tcpconnection.h"

#include <algorithm>
#include <chrono>

namespace StandIns {

namespace {

constexpr std::size_t kSegmentBytes = 1200;
constexpr std::uint32_t kWindowBytes = 24 * 1200;
constexpr std::chrono::milliseconds kRetransmitTimeout{ 200 };
constexpr int kMaxRetries = 25;

bool
isBefore(std::uint32_t aLeft, std::uint32_t aRight)
{
  return static_cast<std::int32_t>(aLeft - aRight) < 0;
}

} // namespace

TcpConnection::TcpConnection(const Core::Endpoint& aLocal,
                             const Core::Endpoint& aPeer,
                             std::uint32_t aFirstSequence,
                             Send aSend)
  : mLocal(aLocal)
  , mPeer(aPeer)
  , mSend(std::move(aSend))
  , mFirstSequence(aFirstSequence)
  , mUnacknowledged(aFirstSequence)
  , mNextSequence(aFirstSequence + 1)
{
}

void
TcpConnection::sendSegment(std::uint8_t aFlags,
                           std::uint32_t aSequence,
                           const std::string& aData)
{
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(mLocal).to(mPeer).flags(aFlags).sequence(aSequence);
  if ((aFlags & Packet::kTcpAck) != 0) {
    builder.acknowledgment(mExpectedSequence);
  }
  mSend(builder.payload(absl::string_view(aData)).build());
}

void
TcpConnection::open(Core::TimePoint aNow)
{
  mState = TcpState::SynSent;
  mLastSentAt = aNow;
  sendSegment(Packet::kTcpSyn, mFirstSequence, "");
}

void
TcpConnection::accept(const Packet::PacketView& aPacket, Core::TimePoint aNow)
{
  mState = TcpState::SynReceived;
  mExpectedSequence = aPacket.sequence() + 1;
  mLastSentAt = aNow;
  sendSegment(Packet::kTcpSyn | Packet::kTcpAck, mFirstSequence, "");
}

void
TcpConnection::sendAcknowledgment()
{
  sendSegment(Packet::kTcpAck, mNextSequence, "");
}

void
TcpConnection::handlePacket(const Packet::PacketView& aPacket,
                            Core::TimePoint aNow)
{
  const bool isEnded =
    mState == TcpState::Refused || mState == TcpState::Broken;
  if (isEnded) {
    return;
  }
  if (aPacket.hasFlag(Packet::kTcpRst)) {
    const bool isReplyToSyn = aPacket.acknowledgment() == mFirstSequence + 1;
    if (mState == TcpState::SynSent) {
      mState = isReplyToSyn ? TcpState::Refused : mState;
    } else if (mState != TcpState::Finished && isInWindow(aPacket)) {
      mState = TcpState::Broken;
    }
    return;
  }
  if (aPacket.hasFlag(Packet::kTcpSyn)) {
    if (mState == TcpState::SynSent && aPacket.hasFlag(Packet::kTcpAck) &&
        aPacket.acknowledgment() == mFirstSequence + 1) {
      mState = TcpState::Established;
      mExpectedSequence = aPacket.sequence() + 1;
      mUnacknowledged = mFirstSequence + 1;
      mRetries = 0;
      sendAcknowledgment();
      sendWindow(aNow);
    } else if (mState == TcpState::SynReceived) {
      sendSegment(Packet::kTcpSyn | Packet::kTcpAck, mFirstSequence, "");
    } else if (mState == TcpState::Established) {
      sendAcknowledgment();
    }
    return;
  }
  if (mState == TcpState::SynSent) {
    return;
  }
  handleAcknowledgment(aPacket, aNow);
  handleData(aPacket);
  checkFinished();
}

bool
TcpConnection::isInWindow(const Packet::PacketView& aPacket) const
{
  return !isBefore(aPacket.sequence(), mExpectedSequence) &&
         isBefore(aPacket.sequence(), mExpectedSequence + kWindowBytes);
}

void
TcpConnection::handleAcknowledgment(const Packet::PacketView& aPacket,
                                    Core::TimePoint aNow)
{
  const auto acknowledged = aPacket.acknowledgment();
  if (mState == TcpState::SynReceived && acknowledged == mFirstSequence + 1) {
    mState = TcpState::Established;
    mUnacknowledged = mFirstSequence + 1;
    mRetries = 0;
  }
  const auto maxAcknowledgment = mNextSequence + (mIsFinSent ? 1 : 0);
  const bool isNew = isBefore(mUnacknowledged, acknowledged) &&
                     !isBefore(maxAcknowledgment, acknowledged);
  if (!isNew || mState == TcpState::SynReceived) {
    return;
  }
  mRetries = 0;
  mLastSentAt = aNow;
  const auto count =
    std::min<std::size_t>(acknowledged - mUnacknowledged, mOutgoing.size());
  mOutgoing.erase(0, count);
  mIsFinAcknowledged = mIsFinSent && acknowledged == mNextSequence + 1;
  mUnacknowledged = mIsFinAcknowledged ? mNextSequence : acknowledged;
  sendWindow(aNow);
}

void
TcpConnection::handleData(const Packet::PacketView& aPacket)
{
  const auto payload = aPacket.payload();
  const bool hasFin = aPacket.hasFlag(Packet::kTcpFin);
  if (payload.empty() && !hasFin) {
    return;
  }
  if (hasFin) {
    mHasPeerFin = true;
    mPeerFinSequence =
      aPacket.sequence() + static_cast<std::uint32_t>(payload.size());
  }
  const std::string data(payload.begin(), payload.end());
  const auto end = aPacket.sequence() + static_cast<std::uint32_t>(data.size());
  if (!data.empty() && isBefore(mExpectedSequence, end)) {
    const auto start = aPacket.sequence();
    if (isBefore(start, mExpectedSequence)) {
      mOutOfOrder[mExpectedSequence] = data.substr(mExpectedSequence - start);
    } else {
      mOutOfOrder[start] = data;
    }
  }
  deliverInOrder();
  if (mHasPeerFin && mExpectedSequence == mPeerFinSequence) {
    mExpectedSequence += 1;
    mIsPeerFinished = true;
  }
  sendAcknowledgment();
}

void
TcpConnection::deliverInOrder()
{
  for (auto it = mOutOfOrder.begin(); it != mOutOfOrder.end();) {
    const auto end = it->first + static_cast<std::uint32_t>(it->second.size());
    if (!isBefore(mExpectedSequence, end)) {
      it = mOutOfOrder.erase(it);
    } else if (!isBefore(mExpectedSequence, it->first)) {
      mReceived += it->second.substr(mExpectedSequence - it->first);
      mExpectedSequence = end;
      it = mOutOfOrder.erase(it);
    } else {
      ++it;
    }
  }
}

void
TcpConnection::sendWindow(Core::TimePoint aNow)
{
  while (mState == TcpState::Established) {
    const auto inFlight = mNextSequence - mUnacknowledged;
    if (inFlight >= mOutgoing.size() || inFlight >= kWindowBytes) {
      break;
    }
    const auto data = mOutgoing.substr(inFlight, kSegmentBytes);
    sendSegment(Packet::kTcpAck | Packet::kTcpPsh, mNextSequence, data);
    mNextSequence += static_cast<std::uint32_t>(data.size());
    mLastSentAt = aNow;
  }
  const bool isAllSent = mNextSequence - mUnacknowledged == mOutgoing.size();
  if (mState == TcpState::Established && mWantsFinish && isAllSent &&
      !mIsFinSent) {
    mIsFinSent = true;
    mLastSentAt = aNow;
    sendSegment(Packet::kTcpFin | Packet::kTcpAck, mNextSequence, "");
  }
}

void
TcpConnection::write(const std::string& aData, Core::TimePoint aNow)
{
  mOutgoing += aData;
  sendWindow(aNow);
}

void
TcpConnection::finish(Core::TimePoint aNow)
{
  mWantsFinish = true;
  sendWindow(aNow);
}

bool
TcpConnection::hasUnacknowledgedSegment() const
{
  const bool isInHandshake =
    mState == TcpState::SynSent || mState == TcpState::SynReceived;
  return isInHandshake || mNextSequence != mUnacknowledged ||
         (mIsFinSent && !mIsFinAcknowledged);
}

void
TcpConnection::tick(Core::TimePoint aNow)
{
  const bool isEnded = mState == TcpState::Finished ||
                       mState == TcpState::Refused ||
                       mState == TcpState::Broken;
  const auto timeout = kRetransmitTimeout * std::min(mRetries + 1, 5);
  if (isEnded || !hasUnacknowledgedSegment() || aNow - mLastSentAt < timeout) {
    return;
  }
  if (++mRetries > kMaxRetries) {
    mState = TcpState::Broken;
    return;
  }
  retransmit(aNow);
}

void
TcpConnection::retransmit(Core::TimePoint aNow)
{
  mLastSentAt = aNow;
  if (mState == TcpState::SynSent) {
    sendSegment(Packet::kTcpSyn, mFirstSequence, "");
    return;
  }
  if (mState == TcpState::SynReceived) {
    sendSegment(Packet::kTcpSyn | Packet::kTcpAck, mFirstSequence, "");
    return;
  }
  const auto inFlight = mNextSequence - mUnacknowledged;
  if (inFlight > 0) {
    const auto count = std::min<std::size_t>(inFlight, kSegmentBytes);
    sendSegment(Packet::kTcpAck | Packet::kTcpPsh,
                mUnacknowledged,
                mOutgoing.substr(0, count));
  } else if (mIsFinSent) {
    sendSegment(Packet::kTcpFin | Packet::kTcpAck, mNextSequence, "");
  }
}

void
TcpConnection::checkFinished()
{
  if (mState == TcpState::Established && mIsPeerFinished &&
      mIsFinAcknowledged) {
    mState = TcpState::Finished;
  }
}

} // namespace StandIns
