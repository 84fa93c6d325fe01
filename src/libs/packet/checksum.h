#pragma once

#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** The Internet checksum (RFC 1071) over aData, starting from aSeed. */
std::uint16_t
internetChecksum(absl::Span<const std::uint8_t> aData, std::uint32_t aSeed = 0);

/** The seed that stands for the TCP and UDP pseudo header. */
std::uint32_t
pseudoHeaderSum(std::uint32_t aSource,
                std::uint32_t aDestination,
                std::uint8_t aProtocol,
                std::size_t aLength);

} // namespace Packet
