#pragma once

#include "steering/flowcache.h"
#include "steering/retransmissionschedule.h"

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace Steering {

/** A new flow whose SYN no target has answered yet. */
struct PendingFlow
{
  Packet::FlowKey flow;
  std::vector<std::uint8_t> packet;
  /** When the caller sent the first SYN. */
  Core::TimePoint firstSentAt{};
  /**
   * When the flow expires, unless the caller retransmits its SYN to this
   * balancer before.
   */
  Core::TimePoint expiresAt{};
  /** When the SYN was sent to the agent. */
  Core::TimePoint forwardedAt{};
  /** The agent that has to reply; null while the flow is queued. */
  Core::Endpoint agent;
  /** Agents that did not reply to the SYN. Their targets may own the flow. */
  AgentSet unansweredAgents;

  bool isQueued() const { return agent.isNull(); }
};

/**
 * New flows that are queued or sent to an agent without a reply yet. This
 * allows the balancer to send a SYN again without waiting for the caller's
 * retransmission, if an agent does not reply or a target becomes available
 * later. Not thread-safe.
 */
class PendingFlows
{
public:
  /**
   * A retransmission that is this late is assumed to have gone to another
   * balancer.
   */
  static constexpr std::chrono::milliseconds kMaxRetransmissionDelay{ 60 };
  /**
   * Maximum number of pending flows, about 1 MB. Further ones are dropped and
   * counted.
   */
  static constexpr std::size_t kCapacity = 4'000;

  explicit PendingFlows(const RetransmissionSchedule& aSchedule);

  /** Null if the flow is not pending. */
  PendingFlow* find(const Packet::FlowKey& aFlow);
  /** Null if kCapacity is reached. */
  PendingFlow* add(const Packet::FlowKey& aFlow,
                   absl::Span<const std::uint8_t> aPacket,
                   std::uint32_t aRetransmissionCount,
                   Core::TimePoint aNow);
  /** Postpones the flow's expiry because the caller retransmitted its SYN. */
  void recordRetransmission(PendingFlow& aPending,
                            std::uint32_t aRetransmissionCount,
                            Core::TimePoint aNow) const;
  void erase(const Packet::FlowKey& aFlow) { mPendingFlows.erase(aFlow); }
  std::size_t size() const { return mPendingFlows.size(); }
  bool isEmpty() const { return mPendingFlows.empty(); }

  /**
   * Removes and returns the flows whose callers no longer expect a response.
   */
  std::vector<PendingFlow> takeExpired(Core::TimePoint aNow);
  /** Flows whose agent did not reply within aTimeout. */
  std::vector<Packet::FlowKey> unansweredFlows(
    std::chrono::milliseconds aTimeout,
    Core::TimePoint aNow) const;
  /**
   * Returns the latency objective of a flow. A queued flow that is older is
   * late.
   */
  using ObjectiveFunction =
    std::function<std::chrono::milliseconds(const Packet::FlowKey&)>;
  struct QueuedFlow
  {
    Packet::FlowKey flow;
    /** The flow can still get a response within its latency objective. */
    bool isOnTime = false;
  };
  /**
   * The queued flows: first those on time, the newest first; then the late
   * ones, the oldest first.
   */
  std::vector<QueuedFlow> queuedFlows(const ObjectiveFunction& aObjectiveOf,
                                      Core::TimePoint aNow) const;
  std::size_t queuedCount() const;

private:
  RetransmissionSchedule mSchedule;
  absl::flat_hash_map<Packet::FlowKey, PendingFlow> mPendingFlows;
};

} // namespace Steering
