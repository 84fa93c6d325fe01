#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <chrono>

namespace Steering {

/** A backend server's answer to the opening packet of a flow. */
struct Offer
{
  Core::Endpoint agent;
  /** The first sequence number, which the caller acknowledges. */
  std::uint32_t sequence = 0;
};

/** A short list of agents. */
class AgentList
{
public:
  bool contains(const Core::Endpoint& aAgent) const;
  void add(const Core::Endpoint& aAgent);
  void clear() { mAgents.clear(); }
  std::size_t size() const { return mAgents.size(); }

private:
  absl::InlinedVector<Core::Endpoint, 2> mAgents;
};

/** What a balancer remembers of a flow. */
struct RememberedFlow
{
  /** The agent whose backend server has the flow, as far as known. */
  Core::Endpoint agent;
  /** Agents that are not asked again: they declined, or did not answer. */
  AgentList passedOver;
  /** Agents that said that they do not take or hold the flow. */
  AgentList declinedBy;
  /** How often an agent had no room for it since it last waited. */
  int turnedAway = 0;
  absl::InlinedVector<Offer, 1> offers;
  Core::TimePoint lastPacketAt{};
  /** When every agent had declined for the first time; null for never. */
  Core::TimePoint exhaustedAt{};
  /** The agent said that it holds the flow. */
  bool isConfirmed = false;
  /** A packet beyond the opening ones came. */
  bool isEstablished = false;
};

/**
 * Remembers which agent has a flow, to save a search. It is never the
 * authority: a lost or wrong entry costs a search. Used by one thread.
 */
class FlowMemory
{
public:
  /** Flows are not older than this on the platforms served. */
  static constexpr std::chrono::seconds kIdleTime{ 30 };
  static constexpr std::chrono::seconds kSweepInterval{ 10 };
  /**
   * The most flows kept: twice what 14 million open flows give each of a
   * thousand balancers, rounded up; about 3 MB.
   */
  static constexpr std::size_t kCapacity = 30'000;

  /** Null when the flow is not known. */
  RememberedFlow* find(const Packet::FlowKey& aFlow);
  RememberedFlow& insert(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  /** What is known of a flow, or a new entry without anything. */
  RememberedFlow& findOrInsert(const Packet::FlowKey& aFlow,
                               Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow) { mFlows.erase(aFlow); }
  std::size_t size() const { return mFlows.size(); }
  /** Forgets idle flows; does nothing between sweeps. */
  void expire(Core::TimePoint aNow);

private:
  void sweep(Core::TimePoint aNow, std::chrono::nanoseconds aIdleTime);

  absl::flat_hash_map<Packet::FlowKey, RememberedFlow> mFlows;
  Core::TimePoint mSweptAt{};
};

} // namespace Steering
