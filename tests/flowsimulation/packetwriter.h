#pragma once

#include "packet/flowkey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace FlowTesting {

using Bytes = std::vector<std::uint8_t>;

/** Flags of the platform's packets; a packet may have several. */
enum PacketFlag : std::uint8_t
{
  kReset = 0x02,
  /** The backend server returned the packet: it does not own the flow. */
  kReturned = 0x04,
  kSyn = 0x08,
  kFin = 0x40,
  kAck = 0x80,
};

/** Builds packets in the platform's format for fake callers and targets. */
class PacketWriter
{
public:
  /** A packet of the flow from the caller to the service. */
  static PacketWriter toService(const Packet::FlowKey& aFlow);
  /** A packet of the flow from the service to the caller. */
  static PacketWriter toCaller(const Packet::FlowKey& aFlow);

  PacketWriter& flags(std::uint8_t aFlags);
  PacketWriter& sequence(std::uint32_t aSequence);
  PacketWriter& acknowledgment(std::uint32_t aAcknowledgment);
  PacketWriter& payload(const std::string& aPayload);
  Bytes write() const;

private:
  PacketWriter(const Core::Endpoint& aFrom, const Core::Endpoint& aTo);

  Core::Endpoint mFrom;
  Core::Endpoint mTo;
  std::uint8_t mFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgment = 0;
  std::string mPayload;
};

/** The payload of a packet as text. */
std::string
payloadText(const Bytes& aPacket);

} // namespace FlowTesting
