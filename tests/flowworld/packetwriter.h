#pragma once

#include "packet/flowkey.h"

#include <cstdint>
#include <string>
#include <vector>

namespace FlowWorld {

using Bytes = std::vector<std::uint8_t>;

/** Kinds of packets; may be added up. */
enum PacketFlag : std::uint8_t
{
  kReset = 0x02,
  kBounced = 0x04,
  kSyn = 0x08,
  kFin = 0x40,
  kAck = 0x80,
};

/** Writes packets as the platform's callers and backend servers do. */
class PacketWriter
{
public:
  /** From the caller to the service, or the way back. */
  static PacketWriter toService(const Packet::FlowKey& aFlow);
  static PacketWriter toCaller(const Packet::FlowKey& aFlow);

  PacketWriter& flags(std::uint8_t aFlags);
  PacketWriter& sequence(std::uint32_t aSequence);
  PacketWriter& acknowledgment(std::uint32_t aAcknowledgment);
  PacketWriter& data(const std::string& aData);
  Bytes write() const;

private:
  PacketWriter(const Core::Endpoint& aFrom, const Core::Endpoint& aTo);

  Core::Endpoint mFrom;
  Core::Endpoint mTo;
  std::uint8_t mFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgment = 0;
  std::string mData;
};

/** The data of a packet as text. */
std::string
dataOf(const Bytes& aPacket);

} // namespace FlowWorld
