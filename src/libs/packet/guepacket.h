#pragma once

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Packet {

/** What a GUE packet carries. */
enum class GueContent : std::uint8_t
{
  Ipv4Packet,
  ControlMessage,
};

/**
 * One packet of Generic UDP Encapsulation, variant 0 (draft-ietf-intarea-gue):
 * a four byte header, private data in whole words, then the content. The
 * spans point into the datagram that was parsed.
 */
struct GuePacket
{
  /** Bytes of the header without private data. */
  static constexpr std::size_t kHeaderBytes = 4;
  /** Most private data that the header length can tell, in bytes. */
  static constexpr std::size_t kMaximumPrivateBytes = 124;

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
