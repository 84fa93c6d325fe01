#include "flowsimulation/packetwriter.h"

#include "platform/datagram.h"
#include "platform/datagramfields.h"

namespace FlowTesting {

using namespace Platform::Internal;

PacketWriter::PacketWriter(const Core::Endpoint& aFrom,
                           const Core::Endpoint& aTo)
  : mFrom(aFrom)
  , mTo(aTo)
{
}

PacketWriter
PacketWriter::toService(const Packet::FlowKey& aFlow)
{
  return PacketWriter(aFlow.caller, aFlow.service);
}

PacketWriter
PacketWriter::toCaller(const Packet::FlowKey& aFlow)
{
  return PacketWriter(aFlow.service, aFlow.caller);
}

PacketWriter&
PacketWriter::flags(std::uint8_t aFlags)
{
  mFlags = aFlags;
  return *this;
}

PacketWriter&
PacketWriter::sequence(std::uint32_t aSequence)
{
  mSequence = aSequence;
  return *this;
}

PacketWriter&
PacketWriter::acknowledgment(std::uint32_t aAcknowledgment)
{
  mAcknowledgment = aAcknowledgment;
  return *this;
}

PacketWriter&
PacketWriter::payload(const std::string& aPayload)
{
  mPayload = aPayload;
  return *this;
}

Bytes
PacketWriter::write() const
{
  Bytes bytes(Platform::Datagram::kHeaderBytes);
  auto* header = bytes.data();
  storeLittle16(header + kLengthOffset,
                static_cast<std::uint16_t>(mPayload.size()));
  storeLittle32(header + kSequenceOffset, mSequence);
  storeLittle32(header + kAcknowledgmentOffset, mAcknowledgment);
  header[kFlagsOffset] = mFlags;
  storeLittle32(header + kDestinationAddressOffset, mTo.address);
  storeLittle32(header + kSourceAddressOffset, mFrom.address);
  storeLittle16(header + kDestinationPortOffset, mTo.port);
  storeLittle16(header + kSourcePortOffset, mFrom.port);
  bytes.insert(bytes.end(), mPayload.begin(), mPayload.end());
  return bytes;
}

std::string
payloadText(const Bytes& aPacket)
{
  return { aPacket.begin() + Platform::Datagram::kHeaderBytes, aPacket.end() };
}

} // namespace FlowTesting
