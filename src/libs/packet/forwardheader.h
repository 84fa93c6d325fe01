#pragma once

#include "core/endpoint.h"

#include <absl/container/inlined_vector.h>
#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>

namespace Packet {

/** Why one of our processes hands a packet to an agent. */
enum class ForwardPurpose : std::uint8_t
{
  /** From a balancer; the agent is the flow's home or its cached owner. */
  Deliver = 1,
  /** From an agent to the flow's home. */
  ToHome = 2,
  /** From the home to the agent that it chose as the owner. */
  Assign = 3,
  /** From a chosen agent back to the home: no room, nothing delivered. */
  Return = 4,
  /** From agent to agent along a route, until the owner is met. */
  Search = 5,
};

/**
 * What our processes add to a packet that they hand on: the private data of
 * its GUE header.
 */
struct ForwardHeader
{
  /** Agents that a search may still visit after the receiver. */
  static constexpr std::size_t kMaximumRoute = 13;
  /** Longest encoded form. */
  static constexpr std::size_t kMaximumBytes = 124;

  ForwardPurpose purpose = ForwardPurpose::Deliver;
  /** Times that an agent handed the packet on. */
  std::uint8_t hops = 0;
  /** Homes that the balancer passed over, because they did not answer. */
  std::uint8_t homesSkipped = 0;
  /** True when the balancer at origin does not know the owner. */
  bool wantsNotice = false;
  /** Revision of the sender's view. */
  std::uint64_t revision = 0;
  /** Identity of the service the packet is for. */
  std::uint64_t service = 0;
  /** Identity of the home that assigned or searches; 0 before that. */
  std::uint64_t home = 0;
  /** The claimer on whose behalf a flow is assigned; 0 for none. */
  std::uint64_t claimer = 0;
  /** Data endpoint of the balancer that is told the owner. */
  Core::Endpoint origin;
  absl::InlinedVector<Core::Endpoint, kMaximumRoute> route;

  static absl::StatusOr<ForwardHeader> parse(
    absl::Span<const std::uint8_t> aPrivateData);

  using Encoded = absl::InlinedVector<std::uint8_t, kMaximumBytes>;

  /** The private data, in whole words. */
  Encoded encode() const;
};

} // namespace Packet
