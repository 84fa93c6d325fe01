#include "packet/packetbuilder.h"

#include "packet/byteorder.h"
#include "packet/checksum.h"

#include <algorithm>

namespace Packet {

namespace {

constexpr std::size_t kIpv4HeaderBytes = 20;
constexpr std::size_t kTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kIcmpHeaderBytes = 8;
constexpr std::size_t kIcmpQuotedTransportBytes = 8;
constexpr std::uint8_t kIcmpTypeUnreachable = 3;
constexpr std::uint8_t kIcmpCodeHostUnreachable = 1;
constexpr std::uint8_t kIcmpCodePortUnreachable = 3;
constexpr std::uint8_t kTimeToLive = 64;
constexpr std::uint16_t kTcpWindow = 65535;

Bytes
wrapInIpv4(const Bytes& aTransport,
           Protocol aProtocol,
           std::uint32_t aSource,
           std::uint32_t aDestination)
{
  Bytes packet(kIpv4HeaderBytes);
  packet[0] = 0x45;
  store16(&packet[2],
          static_cast<std::uint16_t>(kIpv4HeaderBytes + aTransport.size()));
  packet[8] = kTimeToLive;
  packet[9] = static_cast<std::uint8_t>(aProtocol);
  store32(&packet[12], aSource);
  store32(&packet[16], aDestination);
  store16(&packet[10], internetChecksum(packet));
  packet.insert(packet.end(), aTransport.begin(), aTransport.end());
  return packet;
}

Bytes
buildReset(const PacketView& aPacket)
{
  // Sequence and acknowledgment numbers as in RFC 9293, section 3.5.2.
  PacketBuilder builder(Protocol::Tcp);
  builder.from(aPacket.destination()).to(aPacket.source());
  if (aPacket.hasFlag(kTcpAck)) {
    builder.flags(kTcpRst).sequence(aPacket.acknowledgment());
    return builder.build();
  }
  const bool isSyn = aPacket.hasFlag(kTcpSyn);
  const auto segmentLength =
    static_cast<std::uint32_t>(aPacket.payload().size()) + (isSyn ? 1 : 0);
  builder.flags(kTcpRst | kTcpAck)
    .acknowledgment(aPacket.sequence() + segmentLength);
  return builder.build();
}

Bytes
buildUnreachable(const PacketView& aPacket, std::uint8_t aCode)
{
  const auto original = aPacket.bytes();
  const auto ipv4HeaderLength =
    original.size() - aPacket.payload().size() - kUdpHeaderBytes;
  const auto quotedLength =
    std::min(original.size(), ipv4HeaderLength + kIcmpQuotedTransportBytes);
  Bytes message(kIcmpHeaderBytes);
  message[0] = kIcmpTypeUnreachable;
  message[1] = aCode;
  message.insert(
    message.end(), original.begin(), original.begin() + quotedLength);
  store16(&message[2], internetChecksum(message));
  return wrapInIpv4(message,
                    Protocol::Icmp,
                    aPacket.destination().address,
                    aPacket.source().address);
}

} // namespace

PacketBuilder::PacketBuilder(Protocol aProtocol)
  : mProtocol(aProtocol)
{
}

PacketBuilder&
PacketBuilder::from(const Core::Endpoint& aSource)
{
  mSource = aSource;
  return *this;
}

PacketBuilder&
PacketBuilder::to(const Core::Endpoint& aDestination)
{
  mDestination = aDestination;
  return *this;
}

PacketBuilder&
PacketBuilder::flags(std::uint8_t aTcpFlags)
{
  mTcpFlags = aTcpFlags;
  return *this;
}

PacketBuilder&
PacketBuilder::sequence(std::uint32_t aSequence)
{
  mSequence = aSequence;
  return *this;
}

PacketBuilder&
PacketBuilder::acknowledgment(std::uint32_t aAcknowledgment)
{
  mAcknowledgment = aAcknowledgment;
  return *this;
}

PacketBuilder&
PacketBuilder::payload(absl::Span<const std::uint8_t> aPayload)
{
  mPayload.assign(aPayload.begin(), aPayload.end());
  return *this;
}

PacketBuilder&
PacketBuilder::payload(absl::string_view aPayload)
{
  mPayload.assign(aPayload.begin(), aPayload.end());
  return *this;
}

Bytes
PacketBuilder::buildTransport() const
{
  const bool isTcp = mProtocol == Protocol::Tcp;
  Bytes segment(isTcp ? kTcpHeaderBytes : kUdpHeaderBytes);
  store16(&segment[0], mSource.port);
  store16(&segment[2], mDestination.port);
  if (isTcp) {
    store32(&segment[4], mSequence);
    store32(&segment[8], mAcknowledgment);
    segment[12] = (kTcpHeaderBytes / 4) << 4U;
    segment[13] = mTcpFlags;
    store16(&segment[14], kTcpWindow);
  } else {
    store16(&segment[4],
            static_cast<std::uint16_t>(kUdpHeaderBytes + mPayload.size()));
  }
  segment.insert(segment.end(), mPayload.begin(), mPayload.end());
  return segment;
}

Bytes
PacketBuilder::build() const
{
  auto segment = buildTransport();
  const auto initialSum = pseudoHeaderSum(mSource.address,
                                          mDestination.address,
                                          static_cast<std::uint8_t>(mProtocol),
                                          segment.size());
  auto checksum = internetChecksum(segment, initialSum);
  // A UDP checksum of zero means that there is none.
  if (mProtocol == Protocol::Udp && checksum == 0) {
    checksum = UINT16_MAX;
  }
  store16(&segment[mProtocol == Protocol::Tcp ? 16 : 6], checksum);
  return wrapInIpv4(segment, mProtocol, mSource.address, mDestination.address);
}

Bytes
buildRefusal(const PacketView& aPacket)
{
  if (aPacket.protocol() == Protocol::Tcp) {
    return buildReset(aPacket);
  }
  return buildUnreachable(aPacket, kIcmpCodePortUnreachable);
}

Bytes
buildOutcomeUnknown(const PacketView& aPacket)
{
  if (aPacket.protocol() == Protocol::Tcp) {
    return buildReset(aPacket);
  }
  return buildUnreachable(aPacket, kIcmpCodeHostUnreachable);
}

} // namespace Packet
