#pragma once

#include "packet/forwardheader.h"
#include "packet/packetview.h"
#include "routing/fleetview.h"

#include <cstdint>

namespace Ownership {

/** A packet from a caller, with what was found out about it. */
struct Arrival
{
  Packet::PacketView packet;
  Packet::ForwardHeader header;
  Packet::FlowKey flow;
  std::uint64_t flowHash = 0;
  Routing::ClassView classView;

  bool isUdp() const { return flow.protocol == Packet::Protocol::Udp; }

  /** True when the packet may be the first of its flow. */
  bool mayOpen() const { return isUdp() || packet.isOpening(); }

  /**
   * True when the flow must be claimed before it is delivered. TCP needs no
   * claim: data is delivered only to the target whose own sequence number
   * the caller acknowledged.
   */
  bool needsClaim() const
  {
    return isUdp() && !classView.serviceClass->idempotent;
  }
};

} // namespace Ownership
