#include "flowworld/packetwriter.h"

#include "platform/datagram.h"
#include "platform/datagramfields.h"

namespace FlowWorld {

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
PacketWriter::data(const std::string& aData)
{
  mData = aData;
  return *this;
}

Bytes
PacketWriter::write() const
{
  Bytes bytes(Platform::Datagram::kHeaderBytes);
  auto* head = bytes.data();
  storeLittle16(head + kLengthOffset, static_cast<std::uint16_t>(mData.size()));
  storeLittle32(head + kSequenceOffset, mSequence);
  storeLittle32(head + kAcknowledgmentOffset, mAcknowledgment);
  head[kFlagsOffset] = mFlags;
  storeLittle32(head + kDestinationAddressOffset, mTo.address);
  storeLittle32(head + kSourceAddressOffset, mFrom.address);
  storeLittle16(head + kDestinationPortOffset, mTo.port);
  storeLittle16(head + kSourcePortOffset, mFrom.port);
  bytes.insert(bytes.end(), mData.begin(), mData.end());
  return bytes;
}

std::string
dataOf(const Bytes& aPacket)
{
  return { aPacket.begin() + Platform::Datagram::kHeaderBytes, aPacket.end() };
}

} // namespace FlowWorld
