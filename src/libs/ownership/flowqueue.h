#pragma once

#include "core/clock.h"
#include "ownership/incomingpacket.h"
#include "packet/packetbuilder.h"

#include <chrono>
#include <vector>

namespace Ownership {

/** A new flow that is queued at its home until a target has capacity. */
struct QueuedFlow
{
  Packet::Bytes packet;
  Packet::ForwardHeader header;
  Packet::FlowKey flow;
  Core::TimePoint deadline;
  Core::TimePoint retryAt;
  /** True while the flow is assigned to an agent that may still return it. */
  bool isPlaced = false;
  /** True if the deadline has passed and the current attempt is the last. */
  bool isLastAttempt = false;
};

/**
 * A bounded queue of new flows. A flow that an agent returned keeps its
 * original deadline.
 */
class FlowQueue
{
public:
  static constexpr std::size_t kMaxQueuedFlows = 256;
  static constexpr std::chrono::milliseconds kRetryInterval{ 10 };

  /**
   * An expired flow for which there is capacity gets a last attempt, which may
   * be returned within this time.
   */
  static constexpr std::chrono::milliseconds kLastAttemptTimeout{ 200 };

  /**
   * Queues the flow, or marks a queued flow for another attempt. Returns false
   * if the queue is full, or if the last attempt of the flow was returned.
   */
  bool insert(const IncomingPacket& aIncoming,
              std::chrono::milliseconds aWaitLimit,
              Core::TimePoint aNow);

  /** The queued flows, in order of insertion. */
  std::vector<QueuedFlow>& flows() { return mFlows; }
  /** Removes the flows whose deadline has passed. */
  void eraseExpired(Core::TimePoint aNow);
  std::size_t size() const { return mFlows.size(); }

private:
  std::vector<QueuedFlow> mFlows;
};

} // namespace Ownership
