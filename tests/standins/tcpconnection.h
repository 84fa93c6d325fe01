#pragma once

#include "core/clock.h"
#include "packet/packetbuilder.h"
#include "packet/packetview.h"

#include <functional>
#include <map>
#include <string>

namespace StandIns {

enum class TcpState
{
  SynSent,
  SynReceived,
  Established,
  /** Both directions ended in order. */
  Finished,
  /** A reset before the connection was established. */
  Refused,
  /** A reset, or no progress, after it was established. */
  Broken,
};

/**
 * Enough of TCP for stand-ins: handshake, data in order with retransmission,
 * orderly end, and reset. Packets may be lost, doubled and out of order.
 */
class TcpConnection
{
public:
  using Send = std::function<void(const Packet::Bytes&)>;

  /** aSelf and aPeer are the two ends, as this end sees them. */
  TcpConnection(const Core::Endpoint& aSelf,
                const Core::Endpoint& aPeer,
                std::uint32_t aFirstSequence,
                Send aSend);

  /** Starts the connection as the caller. */
  void open(Core::TimePoint aNow);
  /** Starts the connection as the backend server, from a SYN. */
  void accept(const Packet::PacketView& aPacket, Core::TimePoint aNow);

  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  void tick(Core::TimePoint aNow);

  void write(const std::string& aData, Core::TimePoint aNow);
  /** Ends this direction once everything is written. */
  void finish(Core::TimePoint aNow);

  TcpState state() const { return mState; }
  /** What the peer sent, in order; the reader may take it out. */
  std::string& received() { return mReceived; }
  bool isPeerFinished() const { return mIsPeerFinished; }

private:
  void sendSegment(std::uint8_t aFlags,
                   std::uint32_t aSequence,
                   const std::string& aData);
  void sendAcknowledgment();
  void sendWindow(Core::TimePoint aNow);
  void takeAcknowledgment(const Packet::PacketView& aPacket,
                          Core::TimePoint aNow);
  void takeData(const Packet::PacketView& aPacket);
  void deliverInOrder();
  void retransmit(Core::TimePoint aNow);
  void checkFinished();
  bool hasUnacknowledged() const;
  bool isInWindow(const Packet::PacketView& aPacket) const;

  Core::Endpoint mSelf;
  Core::Endpoint mPeer;
  Send mSend;
  TcpState mState = TcpState::SynSent;
  std::uint32_t mFirstSequence;
  /** Oldest sequence number that is not acknowledged. */
  std::uint32_t mUnacknowledged;
  std::uint32_t mNext;
  std::uint32_t mExpected = 0;
  /** Bytes from mUnacknowledged on, sent and not yet sent. */
  std::string mOutgoing;
  std::string mReceived;
  std::map<std::uint32_t, std::string> mOutOfOrder;
  bool mWantsFinish = false;
  bool mIsFinSent = false;
  bool mIsFinAcknowledged = false;
  bool mIsPeerFinished = false;
  bool mHasPeerFin = false;
  std::uint32_t mPeerFinSequence = 0;
  Core::TimePoint mLastSentAt{};
  int mRetries = 0;
};

} // namespace StandIns
