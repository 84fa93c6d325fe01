#pragma once

// The packets of the platform's wire format, as PROTOCOL.md describes them.

#include <arpa/inet.h>

#include <cstdint>
#include <cstring>
#include <string>
#include <tuple>
#include <vector>

namespace standin {

constexpr std::size_t kHeadBytes = 31;
constexpr std::uint8_t kRst = 2;
constexpr std::uint8_t kBounced = 4;
constexpr std::uint8_t kSyn = 8;
constexpr std::uint8_t kFin = 64;
constexpr std::uint8_t kAck = 128;

/** An address in host byte order and a port. */
struct Endpoint
{
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

inline std::string
textOf(std::uint32_t address)
{
  in_addr in{ htonl(address) };
  return inet_ntoa(in);
}

inline std::string
textOf(const Endpoint& endpoint)
{
  return textOf(endpoint.address) + ":" + std::to_string(endpoint.port);
}

struct Packet
{
  Endpoint src;
  Endpoint dst;
  std::uint8_t flags = 0;
  std::uint32_t echo = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t sum = 0;
  std::string data;

  bool has(std::uint8_t flag) const { return (flags & flag) != 0; }

  /** The keyed sum; only clients and targets know the key. */
  std::uint32_t computeSum() const
  {
    std::uint32_t hash = 2166136261U ^ 0x5bd1e995U;
    const auto add = [&hash](std::uint32_t value) {
      for (int i = 0; i < 4; ++i) {
        hash = (hash ^ ((value >> (8 * i)) & 0xff)) * 16777619U;
      }
    };
    add(src.address);
    add(src.port);
    add(dst.address);
    add(dst.port);
    add(flags & static_cast<std::uint8_t>(~kBounced));
    add(seq);
    add(ack);
    add(static_cast<std::uint32_t>(data.size()));
    for (const char c : data) {
      hash = (hash ^ static_cast<std::uint8_t>(c)) * 16777619U;
    }
    return hash == 0 ? 1 : hash;
  }

  std::vector<std::uint8_t> encode() const
  {
    std::vector<std::uint8_t> out(kHeadBytes + data.size());
    const auto put16 = [&out](std::size_t at, std::uint16_t value) {
      out[at] = static_cast<std::uint8_t>(value);
      out[at + 1] = static_cast<std::uint8_t>(value >> 8);
    };
    const auto put32 = [&put16](std::size_t at, std::uint32_t value) {
      put16(at, static_cast<std::uint16_t>(value));
      put16(at + 2, static_cast<std::uint16_t>(value >> 16));
    };
    put16(0, static_cast<std::uint16_t>(data.size()));
    put32(2, echo);
    put32(6, seq);
    put32(10, ack);
    out[14] = flags;
    put32(15, dst.address);
    put32(19, src.address);
    put16(23, dst.port);
    put16(25, src.port);
    put32(27, sum);
    std::memcpy(out.data() + kHeadBytes, data.data(), data.size());
    return out;
  }

  static bool decode(const std::uint8_t* in, std::size_t size, Packet& packet)
  {
    const auto get16 = [in](std::size_t at) {
      return static_cast<std::uint16_t>(in[at] | (in[at + 1] << 8));
    };
    const auto get32 = [&get16](std::size_t at) {
      return get16(at) | (static_cast<std::uint32_t>(get16(at + 2)) << 16);
    };
    if (size < kHeadBytes || get16(0) != size - kHeadBytes) {
      return false;
    }
    packet.echo = get32(2);
    packet.seq = get32(6);
    packet.ack = get32(10);
    packet.flags = in[14];
    packet.dst = { get32(15), get16(23) };
    packet.src = { get32(19), get16(25) };
    packet.sum = get32(27);
    packet.data.assign(reinterpret_cast<const char*>(in) + kHeadBytes,
                       size - kHeadBytes);
    return true;
  }
};

} // namespace standin
