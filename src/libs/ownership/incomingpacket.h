#pragma once

#include "packet/forwardheader.h"
#include "packet/packetview.h"
#include "routing/fleetview.h"

#include <cstdint>

namespace Ownership {

/** A packet from a caller, with its forward header and classification. */
struct IncomingPacket
{
  Packet::PacketView packet;
  Packet::ForwardHeader header;
  Packet::FlowKey flow;
  std::uint64_t flowHash = 0;
  Routing::ClassView classView;

  bool isUdp() const { return flow.protocol == Packet::Protocol::Udp; }

  /** True if the packet may start a flow: a TCP SYN or any UDP packet. */
  bool mayStartFlow() const { return isUdp() || packet.isSyn(); }

  /**
   * True if the flow must be claimed before it is delivered. TCP needs no
   * claim, since data is delivered only to the target whose initial sequence
   * number the caller acknowledged.
   */
  bool needsClaim() const
  {
    return isUdp() && !classView.serviceClass->idempotent;
  }
};

} // namespace Ownership
