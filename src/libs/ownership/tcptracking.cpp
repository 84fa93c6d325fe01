#include "ownership/tcptracking.h"

namespace Ownership {

bool
isUnansweredOpening(const Packet::PacketView& aPacket, const OwnedFlow& aEntry)
{
  return aPacket.isOpening() && aEntry.state == FlowState::HalfOpen &&
         !aEntry.isBackendSequenceKnown;
}

bool
isPartOfHandshake(const Packet::PacketView& aPacket, const OwnedFlow& aEntry)
{
  const bool isChecked = aEntry.state == FlowState::HalfOpen &&
                         aPacket.protocol() == Packet::Protocol::Tcp &&
                         !aPacket.isOpening() &&
                         aPacket.hasFlag(Packet::kTcpAck);
  if (!isChecked) {
    return true;
  }
  return aEntry.isBackendSequenceKnown &&
         aPacket.acknowledgment() == aEntry.backendSequence + 1;
}

void
trackCallerPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry)
{
  if (aPacket.protocol() != Packet::Protocol::Tcp) {
    return;
  }
  if (aEntry.state == FlowState::HalfOpen && !aPacket.isOpening()) {
    aEntry.state = FlowState::Open;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aEntry.isCallerDone = true;
  }
  if (aPacket.hasFlag(Packet::kTcpRst)) {
    aEntry.isCallerDone = true;
    aEntry.isBackendDone = true;
  }
}

bool
trackBackendPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry)
{
  if (aPacket.hasFlag(Packet::kTcpSyn)) {
    aEntry.backendSequence = aPacket.sequence();
    aEntry.isBackendSequenceKnown = true;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aEntry.isBackendDone = true;
  }
  return aPacket.hasFlag(Packet::kTcpRst) ||
         (aEntry.isCallerDone && aEntry.isBackendDone);
}

} // namespace Ownership
