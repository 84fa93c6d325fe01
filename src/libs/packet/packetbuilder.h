#pragma once

#include "packet/flowkey.h"
#include "packet/packetview.h"

#include <absl/types/span.h>

#include <absl/strings/string_view.h>
#include <cstdint>
#include <vector>

namespace Packet {

using Bytes = std::vector<std::uint8_t>;

/** Builds a complete IPv4 packet with correct lengths and checksums. */
class PacketBuilder
{
public:
  explicit PacketBuilder(Protocol aProtocol);

  PacketBuilder& from(const Core::Endpoint& aSource);
  PacketBuilder& to(const Core::Endpoint& aDestination);
  PacketBuilder& flags(std::uint8_t aTcpFlags);
  PacketBuilder& sequence(std::uint32_t aSequence);
  PacketBuilder& acknowledgment(std::uint32_t aAcknowledgment);
  PacketBuilder& payload(absl::Span<const std::uint8_t> aPayload);
  PacketBuilder& payload(absl::string_view aPayload);

  Bytes build() const;

private:
  Bytes buildTransport() const;

  Protocol mProtocol;
  Core::Endpoint mSource;
  Core::Endpoint mDestination;
  std::uint8_t mTcpFlags = 0;
  std::uint32_t mSequence = 0;
  std::uint32_t mAcknowledgment = 0;
  Bytes mPayload;
};

/**
 * Builds the reply that tells the caller that its request was refused and did
 * not run: a TCP reset, or an ICMP "port unreachable" (RFC 792) for UDP.
 */
Bytes
buildRefusal(const PacketView& aPacket);

/**
 * Builds the reply that tells the caller that its request was abandoned and may
 * have run: a TCP reset, or an ICMP "host unreachable" (RFC 792) for UDP.
 */
Bytes
buildOutcomeUnknown(const PacketView& aPacket);

} // namespace Packet
