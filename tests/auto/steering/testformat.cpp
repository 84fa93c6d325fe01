#include "testformat.h"

#include "packet/byteorder.h"
#include "steering/packetformat.h"

namespace Test {

static_assert(Steering::PacketFormat<TestFormat>);

namespace {

constexpr std::size_t kHeaderBytes = 28;
constexpr std::size_t kFlagsOffset = 12;
constexpr std::size_t kTokenOffset = 16;

} // namespace

Bytes
encode(const PacketFields& aFields)
{
  Bytes bytes(kHeaderBytes + aFields.dataBytes);
  auto* data = bytes.data();
  Packet::store32(data, aFields.flow.caller.address);
  Packet::store16(data + 4, aFields.flow.caller.port);
  Packet::store32(data + 6, aFields.flow.service.address);
  Packet::store16(data + 10, aFields.flow.service.port);
  std::uint8_t flags = 0;
  flags |= aFields.isSyn ? 1 : 0;
  flags |= aFields.isSynAck ? 2 : 0;
  flags |= aFields.isFin ? 4 : 0;
  flags |= aFields.isReset ? 8 : 0;
  flags |= aFields.isReturned ? 16 : 0;
  flags |= aFields.isFromTarget ? 32 : 0;
  data[kFlagsOffset] = flags;
  data[kFlagsOffset + 1] = aFields.dataBytes;
  Packet::store32(data + kTokenOffset, aFields.token);
  Packet::store32(data + 20, aFields.sequence);
  Packet::store32(data + 24, aFields.acknowledgment);
  return bytes;
}

absl::StatusOr<TestPacket>
TestFormat::parse(absl::Span<const std::uint8_t> aData)
{
  if (aData.size() < kHeaderBytes) {
    return absl::InvalidArgumentError("packet is too short");
  }
  const auto* data = aData.data();
  const auto flags = data[kFlagsOffset];
  PacketFields fields;
  fields.flow.caller = { ::Packet::load32(data), ::Packet::load16(data + 4) };
  fields.flow.service = { ::Packet::load32(data + 6),
                          ::Packet::load16(data + 10) };
  fields.isSyn = (flags & 1) != 0;
  fields.isSynAck = (flags & 2) != 0;
  fields.isFin = (flags & 4) != 0;
  fields.isReset = (flags & 8) != 0;
  fields.isReturned = (flags & 16) != 0;
  fields.isFromTarget = (flags & 32) != 0;
  fields.dataBytes = data[kFlagsOffset + 1];
  fields.token = ::Packet::load32(data + kTokenOffset);
  fields.sequence = ::Packet::load32(data + 20);
  fields.acknowledgment = ::Packet::load32(data + 24);
  return TestPacket(aData, fields);
}

void
TestFormat::setReturnToken(absl::Span<std::uint8_t> aPacket,
                           std::uint32_t aToken)
{
  ::Packet::store32(&aPacket[kTokenOffset], aToken);
}

void
TestFormat::restoreOriginal(absl::Span<std::uint8_t> aPacket)
{
  ::Packet::store32(&aPacket[kTokenOffset], 0);
  aPacket[kFlagsOffset] &= static_cast<std::uint8_t>(~16U);
}

Bytes
TestFormat::buildReset(const TestPacket& aPacket)
{
  PacketFields fields;
  fields.flow = aPacket.flowFromCaller();
  fields.isReset = true;
  fields.isFromTarget = true;
  return encode(fields);
}

::Packet::FlowKey
flowOf(std::uint16_t aCallerPort)
{
  return { { 0x64400001, aCallerPort },
           kRouteAddress,
           ::Packet::Protocol::Tcp };
}

} // namespace Test
