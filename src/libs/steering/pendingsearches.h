#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/** A flow whose owner is searched, with its packets of the meantime. */
struct PendingSearch
{
  Core::TimePoint startedAt{};
  /** When the present agent was asked. */
  Core::TimePoint askedAt{};
  std::vector<std::vector<std::uint8_t>> packets;
};

/** The searches in progress of one balancer. Used by one thread. */
class PendingSearches
{
public:
  /** A caller has at most so many packets on the way. */
  static constexpr std::size_t kMostPackets = 16;
  /** The most that are kept; more are searched without being kept. */
  static constexpr std::size_t kCapacity = 2'000;
  /** A search that takes longer begins anew with the next packet. */
  static constexpr std::chrono::seconds kMostTime{ 3 };

  /** Null when the flow is not searched. */
  PendingSearch* find(const Packet::FlowKey& aFlow);
  /** Null when there is no room. */
  PendingSearch* begin(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  static void keep(PendingSearch& aSearch,
                   absl::Span<const std::uint8_t> aPacket);
  /** Ends a search; nothing when there is none. */
  std::optional<PendingSearch> take(const Packet::FlowKey& aFlow);
  bool isEmpty() const { return mSearches.empty(); }

  /** Flows that waited for an answer for so long; forgets overlong ones. */
  std::vector<Packet::FlowKey> takeDue(std::chrono::milliseconds aAnswerTime,
                                       Core::TimePoint aNow);

private:
  absl::flat_hash_map<Packet::FlowKey, PendingSearch> mSearches;
};

} // namespace Steering
