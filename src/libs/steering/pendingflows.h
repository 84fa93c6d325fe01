#pragma once

#include "steering/flowcache.h"
#include "steering/queuedflows.h"
#include "steering/retransmissionschedule.h"

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace Steering {

/** A new flow whose SYN no target has answered yet. */
struct PendingFlow
{
  Packet::FlowKey flow;
  /** Order of arrival. */
  std::uint64_t number = 0;
  std::vector<std::uint8_t> packet;
  /** When the caller sent the first SYN. */
  Core::TimePoint firstSentAt{};
  /**
   * When the flow expires, unless the caller retransmits its SYN to this
   * balancer before.
   */
  Core::TimePoint expiresAt{};
  /**
   * When the caller's next SYN is due; the time of expiry if there is none.
   * Without it, another balancer may have the flow.
   */
  Core::TimePoint nextSynDueAt{};
  /** When the SYN was sent to the agent. */
  Core::TimePoint forwardedAt{};
  /** The agent that has to reply; null while the flow is queued. */
  Core::Endpoint agent;
  /** Agents that did not reply to the SYN. Their targets may own the flow. */
  AgentSet unansweredAgents;
  /** The SYN was sent to a target, which rejected it or did not reply. */
  bool wasSent = false;
  /** The last target was full. */
  bool wasFull = false;
  /**
   * A backend server may have the SYN: an agent did not reply, its backend
   * server did not answer, or another balancer had an earlier SYN.
   */
  bool mayBeAtTarget = false;

  /** Whether it is certain that no target has the SYN or will get it. */
  bool isCertainlyNotRun(Core::TimePoint aNow) const
  {
    return isQueued() && !mayBeAtTarget && aNow < nextSynDueAt;
  }
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
  /** Records that the SYN is sent to an agent. */
  void markSent(PendingFlow& aPending,
                const Core::Endpoint& aAgent,
                Core::TimePoint aNow);
  /** Queues a flow whose agent rejected it or did not reply. */
  void markQueued(PendingFlow& aPending);
  void erase(const Packet::FlowKey& aFlow);
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
  /** The queued flows by the endpointKey() of their service address. */
  using QueuedByAddress = std::map<std::uint64_t, QueuedFlowSet>;
  const QueuedByAddress& queuedFlows() const { return mQueuedFlows; }
  /** Removes the addresses without queued flows. Ends all cursors. */
  void removeEmptyAddresses();
  std::size_t queuedCount() const { return mQueuedCount; }

private:
  void addToQueue(const PendingFlow& aPending);
  void removeFromQueue(const PendingFlow& aPending);

  RetransmissionSchedule mSchedule;
  absl::flat_hash_map<Packet::FlowKey, PendingFlow> mPendingFlows;
  QueuedByAddress mQueuedFlows;
  std::size_t mQueuedCount = 0;
  std::uint64_t mLastNumber = 0;
};

} // namespace Steering
