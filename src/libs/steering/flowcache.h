#pragma once

#include "steering/callersequence.h"

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <algorithm>
#include <chrono>

namespace Steering {

/** The SYN-ACK of one backend server. */
struct SynAck
{
  Core::Endpoint agent;
  /**
   * The backend server's initial sequence number, which the caller
   * acknowledges.
   */
  std::uint32_t sequence = 0;
  std::uint32_t serviceTag = 0;
};

class AgentSet
{
public:
  bool contains(const Core::Endpoint& aAgent) const;
  void add(const Core::Endpoint& aAgent);
  void remove(const Core::Endpoint& aAgent);
  void clear() { mAgents.clear(); }
  std::size_t size() const { return mAgents.size(); }
  bool isEmpty() const { return mAgents.empty(); }
  /** The first agent for which aPredicate returns true; null if none. */
  template<typename Predicate>
  const Core::Endpoint* findIf(Predicate aPredicate) const
  {
    const auto it = std::find_if(mAgents.begin(), mAgents.end(), aPredicate);
    return it == mAgents.end() ? nullptr : &*it;
  }

private:
  absl::InlinedVector<Core::Endpoint, 2> mAgents;
};

/** A balancer's cache entry for a flow. */
struct CachedFlow
{
  /** The agent whose backend server is believed to own the flow. */
  Core::Endpoint agent;
  /**
   * Agents that are not tried again: they rejected the flow or did not reply.
   */
  AgentSet excludedAgents;
  /**
   * Agents that definitively rejected the flow: they do not accept it or do not
   * own it.
   */
  AgentSet rejectedBy;
  /** How often the SYN was rejected as full since it was last queued. */
  int fullRejections = 0;
  absl::InlinedVector<SynAck, 1> synAcks;
  Core::TimePoint lastPacketAt{};
  /** When a search first ran out of agents to try; null if none did. */
  Core::TimePoint firstExhaustedAt{};
  /** The agent notified this balancer that it owns the flow. */
  bool isConfirmed = false;
  /**
   * Service of the agent when it owned the flow; only set if isConfirmed is.
   * The agent's address may belong to another service later.
   */
  std::uint32_t serviceTag = 0;
  /**
   * Service of the confirmed owner whose address has been released since; 0 if
   * there was none. Targets of other services do not own the flow.
   */
  std::uint32_t lostOwnerServiceTag = 0;
  /** The caller sent a packet other than a SYN. */
  bool isEstablished = false;
  CallerSequence callerSequence;
};

/**
 * Caches which agent owns a flow, so that the balancer need not search for it.
 * The cache is never authoritative: a missing or wrong entry only costs a
 * search. Not thread-safe.
 */
class FlowCache
{
public:
  /**
   * Entries expire after this time without a packet. No flow is older than this
   * on the supported platforms.
   */
  static constexpr std::chrono::seconds kIdleTimeout{ 30 };
  static constexpr std::chrono::seconds kSweepInterval{ 10 };
  /**
   * Maximum number of cached flows, about 3 MB. With 14 million open flows on a
   * thousand balancers each balancer has about 14,000; this is twice as many,
   * rounded up.
   */
  static constexpr std::size_t kCapacity = 30'000;

  /** Null if the flow is not in the cache. */
  CachedFlow* find(const Packet::FlowKey& aFlow);
  CachedFlow& insert(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  /** Returns the flow's entry, or inserts an empty one. */
  CachedFlow& findOrInsert(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow) { mFlows.erase(aFlow); }
  std::size_t size() const { return mFlows.size(); }
  /** Removes idle flows. No-op until the next sweep is due. */
  void expire(Core::TimePoint aNow);

private:
  void sweep(Core::TimePoint aNow, std::chrono::nanoseconds aIdleTime);

  absl::flat_hash_map<Packet::FlowKey, CachedFlow> mFlows;
  Core::TimePoint mLastSweepAt{};
};

} // namespace Steering
