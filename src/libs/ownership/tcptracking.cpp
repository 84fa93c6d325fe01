#include "ownership/tcptracking.h"

namespace Ownership {

bool
isUnansweredSyn(const Packet::PacketView& aPacket, const OwnedFlow& aOwnedFlow)
{
  return aPacket.isSyn() && aOwnedFlow.state == FlowState::HalfOpen &&
         !aOwnedFlow.isBackendSequenceKnown;
}

bool
matchesHandshake(const Packet::PacketView& aPacket, const OwnedFlow& aOwnedFlow)
{
  const bool isChecked = aOwnedFlow.state == FlowState::HalfOpen &&
                         aPacket.protocol() == Packet::Protocol::Tcp &&
                         !aPacket.isSyn() && aPacket.hasFlag(Packet::kTcpAck);
  if (!isChecked) {
    return true;
  }
  return aOwnedFlow.isBackendSequenceKnown &&
         aPacket.acknowledgment() == aOwnedFlow.backendInitialSequence + 1;
}

void
trackCallerPacket(const Packet::PacketView& aPacket, OwnedFlow& aOwnedFlow)
{
  if (aPacket.protocol() != Packet::Protocol::Tcp) {
    return;
  }
  if (aOwnedFlow.state == FlowState::HalfOpen && !aPacket.isSyn()) {
    aOwnedFlow.state = FlowState::Open;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aOwnedFlow.isClosedByCaller = true;
  }
  if (aPacket.hasFlag(Packet::kTcpRst)) {
    aOwnedFlow.isClosedByCaller = true;
    aOwnedFlow.isClosedByBackend = true;
  }
}

bool
trackBackendPacket(const Packet::PacketView& aPacket, OwnedFlow& aOwnedFlow)
{
  if (aPacket.hasFlag(Packet::kTcpSyn)) {
    aOwnedFlow.backendInitialSequence = aPacket.sequence();
    aOwnedFlow.isBackendSequenceKnown = true;
  }
  if (aPacket.hasFlag(Packet::kTcpFin)) {
    aOwnedFlow.isClosedByBackend = true;
  }
  return aPacket.hasFlag(Packet::kTcpRst) ||
         (aOwnedFlow.isClosedByCaller && aOwnedFlow.isClosedByBackend);
}

} // namespace Ownership
