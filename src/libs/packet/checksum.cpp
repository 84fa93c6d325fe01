#include "packet/checksum.h"

#include "packet/byteorder.h"

namespace Packet {

std::uint16_t
internetChecksum(absl::Span<const std::uint8_t> aData,
                 std::uint32_t aInitialSum)
{
  std::uint64_t sum = aInitialSum;
  std::size_t n = 0;
  for (; n + 1 < aData.size(); n += 2) {
    sum += load16(&aData[n]);
  }
  if (n < aData.size()) {
    sum += static_cast<std::uint32_t>(aData[n]) << 8U;
  }
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xffffU) + (sum >> 16U);
  }
  return static_cast<std::uint16_t>(~sum);
}

std::uint32_t
pseudoHeaderSum(std::uint32_t aSource,
                std::uint32_t aDestination,
                std::uint8_t aProtocol,
                std::size_t aLength)
{
  return (aSource >> 16U) + (aSource & 0xffffU) + (aDestination >> 16U) +
         (aDestination & 0xffffU) + aProtocol +
         static_cast<std::uint32_t>(aLength);
}

} // namespace Packet
