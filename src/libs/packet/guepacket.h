#pragma once

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Packet {

/** Type of the body of a GUE packet. */
enum class GueContent : std::uint8_t
{
  Ipv4Packet,
  ControlMessage,
};

/**
 * A packet of Generic UDP Encapsulation, variant 0 (draft-ietf-intarea-gue): a
 * four byte header, private data in whole 32-bit words and the body. The spans
 * of a parsed packet refer to the parsed datagram, which must outlive it.
 */
struct GuePacket
{
  /** Size of the header without private data. */
  static constexpr std::size_t kHeaderBytes = 4;
  /** Maximum size of the private data: the header length has five bits. */
  static constexpr std::size_t kMaxPrivateDataBytes = 124;

  GueContent content = GueContent::Ipv4Packet;
  absl::Span<const std::uint8_t> privateData;
  absl::Span<const std::uint8_t> body;

  /** Checks variant, flags, lengths and content type. */
  static absl::StatusOr<GuePacket> parse(
    absl::Span<const std::uint8_t> aDatagram);

  /** Appends the datagram to aBuffer; privateData must be whole words. */
  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
};

} // namespace Packet
