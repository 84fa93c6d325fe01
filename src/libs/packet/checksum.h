#pragma once

#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** Internet checksum (RFC 1071) of aData; the sum starts at aInitialSum. */
std::uint16_t
internetChecksum(absl::Span<const std::uint8_t> aData,
                 std::uint32_t aInitialSum = 0);

/** Sum of the TCP or UDP pseudo header, as aInitialSum of a checksum. */
std::uint32_t
pseudoHeaderSum(std::uint32_t aSource,
                std::uint32_t aDestination,
                std::uint8_t aProtocol,
                std::size_t aLength);

} // namespace Packet
