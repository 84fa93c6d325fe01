#pragma once

#include "steering/maprevision.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Membership {

/** IPv4 address of an instance; all instances use the same ports. */
using Address = std::uint32_t;

/** What a process knows about another one, as told to a third. */
struct MemberEntry
{
  Address address = 0;
  /** Identifies the availability zone; see zoneTag(). */
  std::uint32_t zoneTag = 0;
  /** Time since the member was last known to run. */
  std::chrono::milliseconds age{ 0 };

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

/** A datagram between processes that exchange the fleet map. */
struct MemberMessage
{
  static constexpr std::size_t kMaxEntries = 40;
  /** Greatest value of confirmedAge, which stands for all greater ones. */
  static constexpr std::chrono::milliseconds kMaxAge{ 65'535 };

  std::uint32_t zoneTag = 0;
  /** The newest map of the sender. */
  Steering::MapRevision revision;
  /**
   * Time since the platform was last known to have no newer map, from a call of
   * the sender's own or from messages of others.
   */
  std::chrono::milliseconds confirmedAge = kMaxAge;
  /** The sender asks for messages about new maps. */
  bool isSubscribing = false;
  /** The sender stops and serves its map no longer. */
  bool isLeaving = false;
  std::vector<MemberEntry> members;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  static absl::StatusOr<MemberMessage> parse(
    absl::Span<const std::uint8_t> aData);
};

} // namespace Membership
