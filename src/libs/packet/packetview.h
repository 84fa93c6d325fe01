#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** TCP flags, with their bits in the TCP header. */
enum TcpFlag : std::uint8_t
{
  kTcpFin = 0x01,
  kTcpSyn = 0x02,
  kTcpRst = 0x04,
  kTcpPsh = 0x08,
  kTcpAck = 0x10,
};

/** Which checksums are verified when a packet is parsed. */
enum class Verify
{
  Headers,
  HeadersAndPayload,
};

/**
 * A validated view of a complete IPv4 packet that carries TCP or UDP. The view
 * does not own the bytes, which must outlive it.
 */
class PacketView
{
public:
  /**
   * Checks the version, lengths, header checksum, fragmentation and transport
   * header, and with HeadersAndPayload also the transport checksum. An error
   * says what is wrong with the packet.
   */
  static absl::StatusOr<PacketView> parse(absl::Span<const std::uint8_t> aData,
                                          Verify aVerify);

  absl::Span<const std::uint8_t> bytes() const { return mBytes; }
  absl::Span<const std::uint8_t> payload() const;
  Core::Endpoint source() const { return mSource; }
  Core::Endpoint destination() const { return mDestination; }
  Protocol protocol() const { return mProtocol; }

  /** The flow of a packet that is sent from the caller to the service. */
  FlowKey flowFromCaller() const;
  /** The flow of a packet that is sent from the service to the caller. */
  FlowKey flowFromBackend() const;

  bool hasFlag(TcpFlag aFlag) const { return (mTcpFlags & aFlag) != 0; }
  /** TCP sequence number; zero for UDP. */
  std::uint32_t sequence() const { return mSequence; }
  /** TCP acknowledgment number; zero for UDP. */
  std::uint32_t acknowledgment() const { return mAcknowledgment; }

  /** True for a TCP SYN without ACK. */
  bool isSyn() const;

private:
  absl::Status readTransport(Verify aVerify);
  absl::Status readTcp();
  absl::Status readUdp();
  absl::Status verifyTransportChecksum() const;

  absl::Span<const std::uint8_t> mBytes;
  std::size_t mTransportOffset = 0;
  std::size_t mPayloadOffset = 0;
  Core::Endpoint mSource;
  Core::Endpoint mDestination;
  Protocol mProtocol = Protocol::Tcp;
  std::uint8_t mTcpFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgment = 0;
};

} // namespace Packet
