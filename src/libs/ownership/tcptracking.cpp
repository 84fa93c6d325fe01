#include "ownership/tcptracking.h"

namespace Ownership {

bool
isUnansweredSyn(const Packet::PacketView& aPacket, const OwnedFlow& aEntry)
{
  return aPacket.isSyn() && aEntry.state == FlowState::HalfOpen &&
         !aEntry.isBackendSequenceKnown;
}

bool
matchesHandshake(const Packet::PacketView& aPacket, const OwnedFlow& aEntry)
{
  const bool isChecked = aEntry.state == FlowState::HalfOpen &&
                         aPacket.protocol() == Packet::Protocol::Tcp &&
                         !aPacket.isSyn() && aPacket.hasFlag(Packet::kTcpAck);
  if (!isChecked) {
    return true;
  }
  return aEntry.isBackendSequenceKnown &&
         aPacket.acknowledgment() == aEntry.backendInitialSequence + 1;
}

void
trackCallerPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry)
{
  if (aPacket.protocol() != Packet::Protocol::Tcp) {
    return;
  }
  if (aEntry.state == FlowState::HalfOpen && !aPacket.isSyn()) {
    aEntry.state = FlowState::Open;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aEntry.isClosedByCaller = true;
  }
  if (aPacket.hasFlag(Packet::kTcpRst)) {
    aEntry.isClosedByCaller = true;
    aEntry.isClosedByBackend = true;
  }
}

bool
trackBackendPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry)
{
  if (aPacket.hasFlag(Packet::kTcpSyn)) {
    aEntry.backendInitialSequence = aPacket.sequence();
    aEntry.isBackendSequenceKnown = true;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aEntry.isClosedByBackend = true;
  }
  return aPacket.hasFlag(Packet::kTcpRst) ||
         (aEntry.isClosedByCaller && aEntry.isClosedByBackend);
}

} // namespace Ownership
