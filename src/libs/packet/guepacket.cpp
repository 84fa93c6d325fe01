#include "packet/guepacket.h"

#include "packet/byteorder.h"

namespace Packet {

namespace {

constexpr std::uint8_t kVariantMask = 0xc0;
constexpr std::uint8_t kControlBit = 0x20;
constexpr std::uint8_t kLengthMask = 0x1f;
constexpr std::size_t kWordBytes = 4;
constexpr std::uint8_t kProtocolIpv4 = 4;
/**
 * Control type 0 means that the body cannot be interpreted without further
 * context, here the private data.
 */
constexpr std::uint8_t kControlTypePrivate = 0;

} // namespace

absl::StatusOr<GuePacket>
GuePacket::parse(absl::Span<const std::uint8_t> aDatagram)
{
  if (aDatagram.size() < kHeaderBytes) {
    return absl::InvalidArgumentError("datagram is shorter than a GUE header");
  }
  if ((aDatagram[0] & kVariantMask) != 0) {
    return absl::InvalidArgumentError("unsupported GUE variant");
  }
  if (load16(&aDatagram[2]) != 0) {
    return absl::InvalidArgumentError("unknown GUE flags");
  }
  const std::size_t privateBytes = (aDatagram[0] & kLengthMask) * kWordBytes;
  if (kHeaderBytes + privateBytes > aDatagram.size()) {
    return absl::InvalidArgumentError("GUE header length out of range");
  }
  GuePacket packet;
  const bool isControl = (aDatagram[0] & kControlBit) != 0;
  const auto expectedType = isControl ? kControlTypePrivate : kProtocolIpv4;
  if (aDatagram[1] != expectedType) {
    return absl::InvalidArgumentError("unknown GUE protocol or control type");
  }
  packet.content =
    isControl ? GueContent::ControlMessage : GueContent::Ipv4Packet;
  packet.privateData = aDatagram.subspan(kHeaderBytes, privateBytes);
  packet.body = aDatagram.subspan(kHeaderBytes + privateBytes);
  return packet;
}

void
GuePacket::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  const bool isControl = content == GueContent::ControlMessage;
  const auto wordCount =
    static_cast<std::uint8_t>(privateData.size() / kWordBytes);
  aBuffer.push_back(
    static_cast<std::uint8_t>((isControl ? kControlBit : 0) | wordCount));
  aBuffer.push_back(isControl ? kControlTypePrivate : kProtocolIpv4);
  aBuffer.push_back(0);
  aBuffer.push_back(0);
  aBuffer.insert(aBuffer.end(), privateData.begin(), privateData.end());
  aBuffer.insert(aBuffer.end(), body.begin(), body.end());
}

} // namespace Packet
