#pragma once

#include "core/endpoint.h"

#include <absl/container/inlined_vector.h>
#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** Why a balancer or an agent forwards a packet to an agent. */
enum class ForwardPurpose : std::uint8_t
{
  /** From a balancer to the flow's cached owner or to its home. */
  Deliver = 1,
  /** From an agent to the flow's home. */
  ToHome = 2,
  /** From the home to the agent that it chose as the flow's owner. */
  Assign = 3,
  /** From the chosen agent back to the home: at capacity, not delivered. */
  Return = 4,
  /** From agent to agent along a route, until one owns the flow. */
  Search = 5,
};

/**
 * What balancers and agents add to a packet that they forward. It is sent as
 * the private data of the GUE header.
 */
struct ForwardHeader
{
  /** Maximum number of agents that a search visits after the receiver. */
  static constexpr std::size_t kMaxRouteLength = 13;
  /** Maximum size of the encoded header. */
  static constexpr std::size_t kMaxEncodedBytes = 124;

  ForwardPurpose purpose = ForwardPurpose::Deliver;
  /** How many times agents have forwarded the packet. */
  std::uint8_t hops = 0;
  /** Homes that the balancer skipped: suspected, or without an endpoint. */
  std::uint8_t homesSkipped = 0;
  /** True if the balancer at origin does not know the owner. */
  bool wantsOwnerNotice = false;
  /** Revision of the sender's view. */
  std::uint64_t revision = 0;
  /** Identity of the service that the packet is for. */
  std::uint64_t service = 0;
  /** Identity of the home that assigned the flow or searches; 0 if none. */
  std::uint64_t home = 0;
  /** The claimer that the flow is assigned for; 0 if none. */
  std::uint64_t claimer = 0;
  /** Data endpoint of the balancer that receives the owner notice. */
  Core::Endpoint origin;
  /** Data endpoints of the agents that a search visits next. */
  absl::InlinedVector<Core::Endpoint, kMaxRouteLength> route;

  static absl::StatusOr<ForwardHeader> parse(
    absl::Span<const std::uint8_t> aPrivateData);

  using Encoded = absl::InlinedVector<std::uint8_t, kMaxEncodedBytes>;

  /** The private data, padded to whole 32-bit words. */
  Encoded encode() const;
};

} // namespace Packet
