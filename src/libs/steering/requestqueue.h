#pragma once

#include "steering/serviceorder.h"

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/**
 * A request that is queued at its agent until the backend server has a free
 * slot.
 */
struct QueuedRequest
{
  Packet::FlowKey flow;
  /** The queue sets the number. */
  WaitingRequest waiting;
  /**
   * The caller has closed its side of the flow. Most callers have left then,
   * but one that still reads gets an answer if no other request waits.
   */
  bool hasCallerClosed = false;
  /** The caller's packets in order of arrival. */
  std::vector<std::vector<std::uint8_t>> packets;
};

/**
 * Queues requests under overload until a slot is free, and serves them in the
 * order of ServiceOrder. Its operations are linear in the number of requests,
 * which is in the hundreds. Used by one thread.
 */
class RequestQueue
{
public:
  /** A caller has at most this number of packets in flight. */
  static constexpr std::size_t kMaxPacketsPerRequest = 16;

  bool contains(const Packet::FlowKey& aFlow) const
  {
    return mRequests.contains(aFlow);
  }
  void add(QueuedRequest aRequest);
  /** Adds a packet to a queued request; no-op if the request is full. */
  void appendPacket(const Packet::FlowKey& aFlow,
                    std::vector<std::uint8_t> aPacket);
  /** Records that the caller has closed its side of the flow. */
  void markCallerClosed(const Packet::FlowKey& aFlow);
  /**
   * Removes and returns the next request; std::nullopt if the queue is empty.
   * Requests whose callers have closed come after all others.
   */
  std::optional<QueuedRequest> takeNext(Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow);
  /**
   * Removes and returns the requests that cannot be answered before their
   * callers give up, in order of arrival.
   */
  std::vector<QueuedRequest> takeUnanswerable(Core::TimePoint aNow);

  bool isEmpty() const { return mRequests.empty(); }
  std::size_t size() const { return mRequests.size(); }
  /** Number of requests whose callers have not closed. */
  std::uint32_t openCount() const
  {
    return static_cast<std::uint32_t>(mRequests.size()) - mClosedCount;
  }
  /**
   * Number of requests that can still be answered on time and whose callers
   * have not closed.
   */
  std::uint32_t onTimeCount(Core::TimePoint aNow) const;
  /**
   * Number of requests that count against a new one: those of its class and of
   * more urgent ones, and all that are on time if it is late. Late requests do
   * not count if it is on time, and requests whose callers have closed never
   * do. The share of its class limits the number.
   */
  std::uint32_t countAhead(const WaitingRequest& aNew,
                           Core::TimePoint aNow) const;

private:
  absl::flat_hash_map<Packet::FlowKey, QueuedRequest> mRequests;
  ServiceOrder mOrder;
  std::uint32_t mClosedCount = 0;
  std::uint64_t mLastNumber = 0;
};

} // namespace Steering
