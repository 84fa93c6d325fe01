#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/** A request that waits at its agent for a slot of the backend server. */
struct HeldRequest
{
  Packet::FlowKey flow;
  /** When its caller began to wait, as far as known. */
  Core::TimePoint startedAt{};
  /** An answer after this is late. */
  Core::TimePoint lateAt{};
  /** Its caller has given up by then. */
  Core::TimePoint uselessAt{};
  /** The caller's packets in their order. */
  std::vector<std::vector<std::uint8_t>> packets;
};

/**
 * Answers overload: requests that wait for a slot. Those that can still be
 * answered in time go first, the newest in front, for the older of them will
 * be late in any case while more come than are served; then the late ones,
 * the oldest in front. Used by one thread.
 */
class RequestQueue
{
public:
  /** A caller has at most so many packets on the way. */
  static constexpr std::size_t kMostPackets = 16;

  bool contains(const Packet::FlowKey& aFlow) const
  {
    return mRequests.contains(aFlow);
  }
  void add(HeldRequest aRequest);
  /** A further packet of a request that waits. */
  void append(const Packet::FlowKey& aFlow, std::vector<std::uint8_t> aPacket);
  /** Takes out what goes next; nothing when nothing waits. */
  std::optional<HeldRequest> takeNext(Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow) { mRequests.erase(aFlow); }
  /** Takes out the requests whose callers have given up. */
  std::vector<Packet::FlowKey> takeUseless(Core::TimePoint aNow);

  bool isEmpty() const { return mRequests.empty(); }
  std::size_t size() const { return mRequests.size(); }
  /** Requests that can still be answered in time. */
  std::uint32_t freshCount(Core::TimePoint aNow) const;

private:
  absl::flat_hash_map<Packet::FlowKey, HeldRequest> mRequests;
};

} // namespace Steering
