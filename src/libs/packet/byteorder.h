#pragma once

#include <cstdint>

namespace Packet {

// Read and write integers in network byte order, at any alignment.

inline std::uint16_t
load16(const std::uint8_t* aData)
{
  return static_cast<std::uint16_t>((aData[0] << 8U) | aData[1]);
}

inline std::uint32_t
load32(const std::uint8_t* aData)
{
  return (static_cast<std::uint32_t>(load16(aData)) << 16U) | load16(aData + 2);
}

inline std::uint64_t
load64(const std::uint8_t* aData)
{
  return (static_cast<std::uint64_t>(load32(aData)) << 32U) | load32(aData + 4);
}

inline void
store16(std::uint8_t* aData, std::uint16_t aValue)
{
  aData[0] = static_cast<std::uint8_t>(aValue >> 8U);
  aData[1] = static_cast<std::uint8_t>(aValue);
}

inline void
store32(std::uint8_t* aData, std::uint32_t aValue)
{
  store16(aData, static_cast<std::uint16_t>(aValue >> 16U));
  store16(aData + 2, static_cast<std::uint16_t>(aValue));
}

inline void
store64(std::uint8_t* aData, std::uint64_t aValue)
{
  store32(aData, static_cast<std::uint32_t>(aValue >> 32U));
  store32(aData + 4, static_cast<std::uint32_t>(aValue));
}

} // namespace Packet
