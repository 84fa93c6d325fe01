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
  /** When an agent got the flow's packets; null until one did. */
  Core::TimePoint triedAt{};
  /** Agents that were asked whether they know the flow, in search order. */
  std::size_t located = 0;
  Core::TimePoint locatedAt{};
  bool areAllLocated = false;
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

  /**
   * The flow whose last question for an owner is the oldest, if it is so old
   * and there are agents left to ask.
   */
  std::optional<Packet::FlowKey> longestUnlocated(
    std::chrono::milliseconds aTime,
    Core::TimePoint aNow) const;
  /** Flows whose packets went to no agent yet although they began so early. */
  std::vector<Packet::FlowKey> untried(std::chrono::milliseconds aTime,
                                       Core::TimePoint aNow) const;
  /** Flows whose packets an agent has had for so long without an answer. */
  std::vector<Packet::FlowKey> unanswered(std::chrono::milliseconds aTime,
                                          Core::TimePoint aNow) const;
  /** Ends searches that take too long. */
  void expire(Core::TimePoint aNow);

private:
  template<typename IsDue>
  std::vector<Packet::FlowKey> collect(IsDue aIsDue) const;

  absl::flat_hash_map<Packet::FlowKey, PendingSearch> mSearches;
};

} // namespace Steering
