#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
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
  /** Start of the caller's waiting time, as far as known. */
  Core::TimePoint waitingSince{};
  /** End of the latency objective; an answer after this is late. */
  Core::TimePoint lateAt{};
  /** Time at which the caller gives up. */
  Core::TimePoint expiresAt{};
  /** The caller's packets in order of arrival. */
  std::vector<std::vector<std::uint8_t>> packets;
};

/**
 * Queues requests under overload until a slot is free. Requests that can still
 * be answered on time are served before late ones. Among those on time, the
 * newest is served first: while requests arrive faster than they are served,
 * the older ones will be late in any case. Late requests are served oldest
 * first. Used by one thread.
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
  /**
   * Removes and returns the next request; std::nullopt if the queue is empty.
   */
  std::optional<QueuedRequest> takeNext(Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow) { mRequests.erase(aFlow); }
  /**
   * Removes the requests whose callers have given up and returns their flows.
   */
  std::vector<Packet::FlowKey> takeExpired(Core::TimePoint aNow);

  bool isEmpty() const { return mRequests.empty(); }
  std::size_t size() const { return mRequests.size(); }
  /** Number of requests that can still be answered on time. */
  std::uint32_t onTimeCount(Core::TimePoint aNow) const;

private:
  absl::flat_hash_map<Packet::FlowKey, QueuedRequest> mRequests;
};

} // namespace Steering
