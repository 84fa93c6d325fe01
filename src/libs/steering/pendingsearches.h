#pragma once

#include "steering/flowcache.h"

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Steering {

/** The search for a flow's owner, with the packets buffered meanwhile. */
struct PendingSearch
{
  /**
   * Passes of queries before packets are sent to agents although others did not
   * reply, one of which may know the flow. They take 700 ms.
   */
  static constexpr int kPassesBeforeForwarding = 3;

  Core::TimePoint startedAt{};
  /**
   * When the first buffered packet was last sent to an agent; null if it was
   * not.
   */
  Core::TimePoint forwardedAt{};
  /** The packet was sent to the same agent again. */
  bool isForwardRepeated = false;
  /**
   * Number of agents queried for the owner in this pass, from the start of the
   * search order.
   */
  std::size_t queriedCount = 0;
  /** Whether the agents of the last round reply if they know no owner. */
  bool areRepliesRequested = false;
  /** Agents of this pass whose requested reply has not arrived. */
  AgentSet awaitedAgents;
  /** The search may continue: an agent replied or a new pass began. */
  bool hasNews = false;
  Core::TimePoint lastQueryAt{};
  bool areAllQueried = false;
  /** How often all agents have been queried that did not reply. */
  int passCount = 0;
  /** Agents that do not know whether their backend server owns the flow. */
  AgentSet uncertainAgents;
  /**
   * When no agent was left to try and the flow could not be reset; null while
   * the search goes on.
   */
  Core::TimePoint exhaustedAt{};
  std::vector<std::vector<std::uint8_t>> packets;

  bool isExhausted() const { return exhaustedAt != Core::TimePoint{}; }
  /** Each agent of the last round has replied. */
  bool isAnswered() const
  {
    return areRepliesRequested && awaitedAgents.isEmpty();
  }
  bool isFirstPacket(absl::Span<const std::uint8_t> aPacket) const
  {
    return !packets.empty() && absl::MakeConstSpan(packets.front()) == aPacket;
  }
  bool isForwarded() const { return forwardedAt != Core::TimePoint{}; }
  void recordForward(Core::TimePoint aNow)
  {
    forwardedAt = aNow;
    isForwardRepeated = false;
  }
  /** Queries all agents again that did not reply. */
  void beginNextPass()
  {
    ++passCount;
    queriedCount = 0;
    awaitedAgents.clear();
    areAllQueried = false;
    hasNews = true;
  }
  /** Starts again with the same packets. */
  void restart()
  {
    auto bufferedPackets = std::move(packets);
    *this = { .startedAt = startedAt, .lastQueryAt = lastQueryAt };
    packets = std::move(bufferedPackets);
  }
};

/** The searches in progress of one balancer. Not thread-safe. */
class PendingSearches
{
public:
  /**
   * Maximum number of buffered packets per flow: a caller has no more in
   * flight.
   */
  static constexpr std::size_t kMaxPackets = 16;
  /**
   * Maximum number of searches with buffered packets. Further flows are
   * searched without buffering.
   */
  static constexpr std::size_t kCapacity = 2'000;
  /**
   * A search that takes longer is dropped. The flow's next packet starts a new
   * one.
   */
  static constexpr std::chrono::seconds kMaxDuration{ 3 };

  /** Null if the flow is not being searched. */
  PendingSearch* find(const Packet::FlowKey& aFlow);
  /** Null if kCapacity is reached. */
  PendingSearch* add(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  static void bufferPacket(PendingSearch& aSearch,
                           absl::Span<const std::uint8_t> aPacket);
  /** Removes and returns a search; std::nullopt if there is none. */
  std::optional<PendingSearch> take(const Packet::FlowKey& aFlow);
  bool isEmpty() const { return mSearches.empty(); }
  std::size_t size() const { return mSearches.size(); }

  /**
   * Flows whose last queries are all answered or at least aInterval old, or
   * that were not queried yet; the longest searched ones first.
   */
  std::vector<Packet::FlowKey> flowsToQuery(std::chrono::milliseconds aInterval,
                                            Core::TimePoint aNow) const;
  /**
   * Flows whose search started at least aDelay ago and has news, and whose
   * first packet is not at an agent now.
   */
  std::vector<Packet::FlowKey> continuableFlows(
    std::chrono::milliseconds aDelay,
    Core::TimePoint aNow) const;
  /**
   * Flows whose first packet was sent to an agent at least aTimeout ago without
   * a reply.
   */
  std::vector<Packet::FlowKey> unansweredFlows(
    std::chrono::milliseconds aTimeout,
    Core::TimePoint aNow) const;
  /** Flows whose search was exhausted at least aDelay ago. */
  std::vector<Packet::FlowKey> exhaustedFlows(std::chrono::milliseconds aDelay,
                                              Core::TimePoint aNow) const;
  /** Begins a new pass in each search, for targets that were added. */
  void beginNewPasses();
  /** Removes searches that take longer than kMaxDuration. */
  void expire(Core::TimePoint aNow);

private:
  template<typename IsDue>
  std::vector<Packet::FlowKey> collect(IsDue aIsDue) const;

  absl::flat_hash_map<Packet::FlowKey, PendingSearch> mSearches;
};

} // namespace Steering
