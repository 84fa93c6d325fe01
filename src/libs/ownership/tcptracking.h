#pragma once

#include "ownership/flowtable.h"
#include "packet/packetview.h"

namespace Ownership {

/** True for a retransmitted SYN that the backend server has not answered. */
bool
isUnansweredSyn(const Packet::PacketView& aPacket, const OwnedFlow& aOwnedFlow);

/**
 * False for an ACK in a half-open flow that does not acknowledge the SYN-ACK of
 * this backend server: another one accepted the flow. True for any other
 * packet.
 */
bool
matchesHandshake(const Packet::PacketView& aPacket,
                 const OwnedFlow& aOwnedFlow);

/** Updates the TCP state of the flow by a packet from the caller. */
void
trackCallerPacket(const Packet::PacketView& aPacket, OwnedFlow& aOwnedFlow);

/**
 * Updates the TCP state of the flow by a packet from the backend server.
 * Returns true if the flow has ended.
 */
bool
trackBackendPacket(const Packet::PacketView& aPacket, OwnedFlow& aOwnedFlow);

} // namespace Ownership
