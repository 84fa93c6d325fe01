#pragma once

#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** The Internet checksum (RFC 1071) over aData, added to aInitialSum. */
std::uint16_t
internetChecksum(absl::Span<const std::uint8_t> aData,
                 std::uint32_t aInitialSum = 0);

/** Sum of the TCP or UDP pseudo header, to start internetChecksum() with. */
std::uint32_t
pseudoHeaderSum(std::uint32_t aSource,
                std::uint32_t aDestination,
                std::uint8_t aProtocol,
                std::size_t aLength);

} // namespace Packet
