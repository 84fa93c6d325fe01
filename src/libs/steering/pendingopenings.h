#pragma once

#include "steering/attemptschedule.h"

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

/** The opening packet of a flow that no target has answered yet. */
struct PendingOpening
{
  Packet::FlowKey flow;
  std::vector<std::uint8_t> packet;
  /** When the caller sent the first copy. */
  Core::TimePoint firstAt{};
  /** Without another copy the caller takes no answer after this. */
  Core::TimePoint validUntil{};
  /** When it was sent to the agent. */
  Core::TimePoint sentAt{};
  /** The agent that owes an answer; null while it waits for a target. */
  Core::Endpoint agent;

  bool isWaiting() const { return agent.isNull(); }
};

/**
 * Opening packets on their way or without a target, so that neither the
 * silence of an agent nor a target that comes late costs the caller its next
 * copy. Used by one thread.
 */
class PendingOpenings
{
public:
  /** A copy that is so late was sent to another balancer. */
  static constexpr std::chrono::milliseconds kCopyDelay{ 60 };
  /** The most that are kept; about 1 MB. More are dropped and counted. */
  static constexpr std::size_t kCapacity = 4'000;

  explicit PendingOpenings(const AttemptSchedule& aSchedule);

  /** Null when the flow is not pending. */
  PendingOpening* find(const Packet::FlowKey& aFlow);
  /** Null when there is no room for another flow. */
  PendingOpening* add(const Packet::FlowKey& aFlow,
                      absl::Span<const std::uint8_t> aPacket,
                      std::uint32_t aCopy,
                      Core::TimePoint aNow);
  /** The caller sent another copy. */
  void noteCopy(PendingOpening& aOpening,
                std::uint32_t aCopy,
                Core::TimePoint aNow) const;
  void erase(const Packet::FlowKey& aFlow) { mOpenings.erase(aFlow); }
  std::size_t size() const { return mOpenings.size(); }
  bool isEmpty() const { return mOpenings.empty(); }

  /** Removes and returns those whose callers take no answer any more. */
  std::vector<PendingOpening> takeExpired(Core::TimePoint aNow);
  /** Flows whose agent did not answer within aTimeout. */
  std::vector<Packet::FlowKey> unanswered(std::chrono::milliseconds aTimeout,
                                          Core::TimePoint aNow) const;
  /** Tells how old an opening may be for an answer in time. */
  using FreshTime =
    std::function<std::chrono::milliseconds(const Packet::FlowKey&)>;
  struct Waiting
  {
    Packet::FlowKey flow;
    /** It can still be answered in time. */
    bool isFresh = false;
  };
  /**
   * Flows without a target: first the fresh ones, the newest in front; then
   * the others, the oldest in front.
   */
  std::vector<Waiting> waiting(const FreshTime& aFreshTime,
                               Core::TimePoint aNow) const;
  std::size_t waitingCount() const;

private:
  AttemptSchedule mSchedule;
  absl::flat_hash_map<Packet::FlowKey, PendingOpening> mOpenings;
};

} // namespace Steering
