#pragma once

#include "core/endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Packet {

/** IP protocols, with their IPv4 numbers. Only TCP and UDP are balanced. */
enum class Protocol : std::uint8_t
{
  Icmp = 1,
  Tcp = 6,
  Udp = 17,
};

/** Identifies a flow by caller, service address and protocol. */
struct FlowKey
{
  Core::Endpoint caller;
  Core::Endpoint service;
  Protocol protocol = Protocol::Tcp;

  auto operator<=>(const FlowKey&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const FlowKey& aKey)
  {
    return H::combine(std::move(aState),
                      aKey.caller.address,
                      aKey.caller.port,
                      aKey.service.address,
                      aKey.service.port,
                      aKey.protocol);
  }
};

/** Formats a flow for logs: "tcp 192.0.2.1:4000 -> 198.51.100.1:80". */
std::string
formatFlowKey(const FlowKey& aKey);

} // namespace Packet
