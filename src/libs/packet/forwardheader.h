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
  /**
   * From an agent back to the home, which chooses another owner: the chosen
   * agent is at capacity and did not deliver the packet, or a search for the
   * owner ended without result.
   */
  Return = 4,
  /** From agent to agent along a route, until one owns the flow. */
  Search = 5,
};

/**
 * Header that balancers and agents add to a packet that they forward. It is
 * sent as the private data of the GUE header.
 */
struct ForwardHeader
{
  /** Maximum number of agents that a search visits after the receiver. */
  static constexpr std::size_t kMaxRouteLength = 13;
  /** Maximum size of the encoded header. */
  static constexpr std::size_t kMaxEncodedBytes = 124;

  ForwardPurpose purpose = ForwardPurpose::Deliver;
  /** Number of times that agents have forwarded the packet. */
  std::uint8_t hops = 0;
  /**
   * Number of homes that the balancer skipped, because they are suspected or
   * have no endpoint.
   */
  std::uint8_t homesSkipped = 0;
  /** True if the balancer at origin has not cached the flow's owner. */
  bool wantsOwnerNotice = false;
  /** Revision of the sender's view. */
  std::uint64_t revision = 0;
  /** Identity of the service that the packet is for. */
  std::uint64_t service = 0;
  /**
   * Identity of the home that assigned the flow or started the search; 0 if
   * none. With Return: identity of the agent that was at capacity; 0 if a
   * search ended.
   */
  std::uint64_t home = 0;
  /**
   * Identifies the incarnation of the home that assigned the flow, like the
   * claimer of a claim request; 0 before an assignment.
   */
  std::uint64_t claimer = 0;
  /** Data endpoint of the balancer that receives the owner notice. */
  Core::Endpoint origin;
  /**
   * Data endpoints of the agents that a search visits next. With Assign and
   * Return: of the agents that returned the packet before, which are excluded.
   */
  absl::InlinedVector<Core::Endpoint, kMaxRouteLength> route;

  static absl::StatusOr<ForwardHeader> parse(
    absl::Span<const std::uint8_t> aPrivateData);

  using Encoded = absl::InlinedVector<std::uint8_t, kMaxEncodedBytes>;

  /** The private data, padded to whole 32-bit words. */
  Encoded encode() const;
};

} // namespace Packet
