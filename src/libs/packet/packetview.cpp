#include "packet/packetview.h"

#include "packet/byteorder.h"
#include "packet/checksum.h"

namespace Packet {

namespace {

constexpr std::size_t kIpv4HeaderBytes = 20;
constexpr std::size_t kTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kWordBytes = 4;
/** The "more fragments" flag and the fragment offset. */
constexpr std::uint16_t kFragmentMask = 0x3fff;

absl::Status
malformedError(const char* aReason)
{
  return absl::InvalidArgumentError(aReason);
}

} // namespace

absl::StatusOr<PacketView>
PacketView::parse(absl::Span<const std::uint8_t> aData, Verify aVerify)
{
  if (aData.size() < kIpv4HeaderBytes) {
    return malformedError("packet is shorter than an IPv4 header");
  }
  if ((aData[0] >> 4U) != 4) {
    return malformedError("IP version is not 4");
  }
  const std::size_t headerLength = (aData[0] & 0x0fU) * kWordBytes;
  const std::size_t totalLength = load16(&aData[2]);
  if (headerLength < kIpv4HeaderBytes || headerLength > aData.size()) {
    return malformedError("IPv4 header length out of range");
  }
  if (totalLength < headerLength || totalLength > aData.size()) {
    return malformedError("IPv4 total length out of range");
  }
  if (internetChecksum(aData.first(headerLength)) != 0) {
    return malformedError("wrong IPv4 header checksum");
  }
  if ((load16(&aData[6]) & kFragmentMask) != 0) {
    return malformedError("packet is an IPv4 fragment");
  }
  PacketView view;
  view.mBytes = aData.first(totalLength);
  view.mTransportOffset = headerLength;
  view.mSource.address = load32(&aData[12]);
  view.mDestination.address = load32(&aData[16]);
  view.mProtocol = static_cast<Protocol>(aData[9]);
  const auto status = view.readTransport(aVerify);
  if (!status.ok()) {
    return status;
  }
  return view;
}

absl::Status
PacketView::readTransport(Verify aVerify)
{
  absl::Status status;
  switch (mProtocol) {
    case Protocol::Tcp:
      status = readTcp();
      break;
    case Protocol::Udp:
      status = readUdp();
      break;
    default:
      return malformedError("protocol is neither TCP nor UDP");
  }
  if (!status.ok() || aVerify == Verify::Headers) {
    return status;
  }
  return verifyTransportChecksum();
}

absl::Status
PacketView::readTcp()
{
  const auto segment = mBytes.subspan(mTransportOffset);
  if (segment.size() < kTcpHeaderBytes) {
    return malformedError("segment is shorter than a TCP header");
  }
  const std::size_t headerLength = (segment[12] >> 4U) * kWordBytes;
  if (headerLength < kTcpHeaderBytes || headerLength > segment.size()) {
    return malformedError("TCP header length out of range");
  }
  mSource.port = load16(&segment[0]);
  mDestination.port = load16(&segment[2]);
  mSequence = load32(&segment[4]);
  mAcknowledgment = load32(&segment[8]);
  mTcpFlags = segment[13];
  mPayloadOffset = mTransportOffset + headerLength;
  return absl::OkStatus();
}

absl::Status
PacketView::readUdp()
{
  const auto datagram = mBytes.subspan(mTransportOffset);
  if (datagram.size() < kUdpHeaderBytes) {
    return malformedError("datagram is shorter than a UDP header");
  }
  if (load16(&datagram[4]) != datagram.size()) {
    return malformedError("UDP length differs from the IPv4 length");
  }
  mSource.port = load16(&datagram[0]);
  mDestination.port = load16(&datagram[2]);
  mPayloadOffset = mTransportOffset + kUdpHeaderBytes;
  return absl::OkStatus();
}

absl::Status
PacketView::verifyTransportChecksum() const
{
  const auto segment = mBytes.subspan(mTransportOffset);
  const bool hasNoChecksum =
    mProtocol == Protocol::Udp && load16(&segment[6]) == 0;
  if (hasNoChecksum) {
    return absl::OkStatus();
  }
  const auto initialSum = pseudoHeaderSum(mSource.address,
                                          mDestination.address,
                                          static_cast<std::uint8_t>(mProtocol),
                                          segment.size());
  if (internetChecksum(segment, initialSum) != 0) {
    return malformedError("wrong transport checksum");
  }
  return absl::OkStatus();
}

absl::Span<const std::uint8_t>
PacketView::payload() const
{
  return mBytes.subspan(mPayloadOffset);
}

FlowKey
PacketView::flowFromCaller() const
{
  return { mSource, mDestination, mProtocol };
}

FlowKey
PacketView::flowFromBackend() const
{
  return { mDestination, mSource, mProtocol };
}

bool
PacketView::isSyn() const
{
  return mProtocol == Protocol::Tcp && hasFlag(kTcpSyn) && !hasFlag(kTcpAck);
}

} // namespace Packet
