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
  /** Both directions ended with a FIN. */
  Finished,
  /** Reset in answer to the SYN. */
  Refused,
  /** Reset after the SYN-ACK, or unanswered after all retransmissions. */
  Broken,
};

/**
 * The part of TCP that stand-ins need: handshake, in-order data with
 * retransmission, FIN and reset. Handles lost, duplicate and reordered packets.
 */
class TcpConnection
{
public:
  using Send = std::function<void(const Packet::Bytes&)>;

  TcpConnection(const Core::Endpoint& aLocal,
                const Core::Endpoint& aPeer,
                std::uint32_t aFirstSequence,
                Send aSend);

  /** Starts the connection with a SYN, as a caller. */
  void open(Core::TimePoint aNow);
  /** Answers the SYN aPacket, as a backend server. */
  void accept(const Packet::PacketView& aPacket, Core::TimePoint aNow);

  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  void tick(Core::TimePoint aNow);

  void write(const std::string& aData, Core::TimePoint aNow);
  /** Sends a FIN after all written data. */
  void finish(Core::TimePoint aNow);

  TcpState state() const { return mState; }
  /** In-order data from the peer; the reader removes what it has read. */
  std::string& received() { return mReceived; }
  bool isPeerFinished() const { return mIsPeerFinished; }

private:
  void sendSegment(std::uint8_t aFlags,
                   std::uint32_t aSequence,
                   const std::string& aData);
  void sendAcknowledgment();
  void sendWindow(Core::TimePoint aNow);
  void handleAcknowledgment(const Packet::PacketView& aPacket,
                            Core::TimePoint aNow);
  void handleData(const Packet::PacketView& aPacket);
  void deliverInOrder();
  void retransmit(Core::TimePoint aNow);
  void checkFinished();
  bool hasUnacknowledgedSegment() const;
  bool isInWindow(const Packet::PacketView& aPacket) const;

  Core::Endpoint mLocal;
  Core::Endpoint mPeer;
  Send mSend;
  TcpState mState = TcpState::SynSent;
  std::uint32_t mFirstSequence;
  /** Oldest unacknowledged sequence number. */
  std::uint32_t mUnacknowledged;
  std::uint32_t mNextSequence;
  std::uint32_t mExpectedSequence = 0;
  /** Unacknowledged and unsent bytes, from mUnacknowledged on. */
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
