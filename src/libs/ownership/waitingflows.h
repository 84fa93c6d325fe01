#pragma once

#include "core/clock.h"
#include "ownership/arrival.h"
#include "packet/packetbuilder.h"

#include <chrono>
#include <vector>

namespace Ownership {

/** A new flow that waits for room at its home. */
struct WaitingFlow
{
  Packet::Bytes packet;
  Packet::ForwardHeader header;
  Packet::FlowKey flow;
  Core::TimePoint deadline;
  Core::TimePoint retryAt;
  /** True while it is with an agent that may still turn it away. */
  bool isPlaced = false;
  /** True when its deadline is over and the present try is the last. */
  bool isLastTry = false;
};

/**
 * A short queue of new flows; a full one takes no more. A flow that was
 * turned away keeps the deadline that it had at first.
 */
class WaitingFlows
{
public:
  static constexpr std::size_t kMostWaiting = 256;
  static constexpr std::chrono::milliseconds kRetryInterval{ 10 };

  /** How long the last try may be on its way. */
  static constexpr std::chrono::milliseconds kLastTryTime{ 200 };

  /** False when the queue is full, or the flow's last try came back. */
  bool insert(const Arrival& aArrival,
              std::chrono::milliseconds aLimit,
              Core::TimePoint aNow);

  /** In the order in which they came. */
  std::vector<WaitingFlow>& flows() { return mFlows; }
  /** Forgets the flows whose deadline is over. */
  void eraseOverdue(Core::TimePoint aNow);
  std::size_t size() const { return mFlows.size(); }

private:
  std::vector<WaitingFlow> mFlows;
};

} // namespace Ownership
