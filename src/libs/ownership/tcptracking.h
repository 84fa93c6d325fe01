#pragma once

#include "ownership/flowtable.h"
#include "packet/packetview.h"

namespace Ownership {

/** An opening packet again that the backend server never answered. */
bool
isUnansweredOpening(const Packet::PacketView& aPacket, const OwnedFlow& aEntry);

/**
 * False for a packet that acknowledges another backend server's handshake.
 * Packets other than TCP, and of open flows, always belong.
 */
bool
isPartOfHandshake(const Packet::PacketView& aPacket, const OwnedFlow& aEntry);

/** Follows the flow's state by a packet of the caller. */
void
trackCallerPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry);

/** Follows it by a packet of the backend server; true when the flow is over. */
bool
trackBackendPacket(const Packet::PacketView& aPacket, OwnedFlow& aEntry);

} // namespace Ownership
