#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/** The opening packet of a flow that no target has answered yet. */
struct PendingOpening
{
  Packet::FlowKey flow;
  std::vector<std::uint8_t> packet;
  /** When the caller's first copy came. */
  Core::TimePoint firstAt{};
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
  /** After this a caller has ended the attempt and takes no answer. */
  static constexpr std::chrono::milliseconds kAttemptTime{ 1'400 };
  /** The most that are kept; about 1 MB. More are dropped and counted. */
  static constexpr std::size_t kCapacity = 4'000;

  /** Null when the flow is not pending. */
  PendingOpening* find(const Packet::FlowKey& aFlow);
  /** Null when there is no room for another flow. */
  PendingOpening* add(const Packet::FlowKey& aFlow,
                      absl::Span<const std::uint8_t> aPacket,
                      Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow) { mOpenings.erase(aFlow); }
  std::size_t size() const { return mOpenings.size(); }
  bool isEmpty() const { return mOpenings.empty(); }

  /** Removes and returns those whose attempt is over. */
  std::vector<PendingOpening> takeExpired(Core::TimePoint aNow);
  /** Flows whose agent did not answer within aTimeout. */
  std::vector<Packet::FlowKey> unanswered(std::chrono::milliseconds aTimeout,
                                          Core::TimePoint aNow) const;
  /**
   * Flows without a target: first those younger than aFresh, the newest in
   * front, since they can still be answered in time; then the others, the
   * oldest in front.
   */
  std::vector<Packet::FlowKey> waiting(std::chrono::milliseconds aFresh,
                                       Core::TimePoint aNow) const;
  std::size_t waitingCount() const;

private:
  absl::flat_hash_map<Packet::FlowKey, PendingOpening> mOpenings;
};

} // namespace Steering
