#pragma once

#include "steering/pendingsearches.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <chrono>
#include <optional>
#include <utility>

namespace Steering {

/**
 * Finds the owner of a flow that a balancer does not know. All agents are asked
 * whether they know it; at the same time, since an agent may have been
 * restarted, the flow's packets go to one agent after the other, and backend
 * servers hand back what they do not hold. All packets of a flow share one
 * search.
 */
template<PacketFormat Format, SteererPort Port>
class SearchSide
{
public:
  using PacketType = typename Format::Packet;

  /** Searches in progress are looked after so often. */
  static constexpr std::chrono::milliseconds kTickInterval{ 10 };
  /**
   * While targets come, a flow that nobody holds is reset only when a second
   * search so much later ends in the same way: twice the time for which a
   * balancer in touch may gather changes.
   */
  static constexpr std::chrono::milliseconds kSearchAgainAfter{ 800 };

  explicit SearchSide(SteererContext<Format, Port>& aContext)
    : mContext(aContext)
  {
  }

  /** Handles a packet of a flow beyond its opening. */
  void handle(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Route& aRoute,
              Core::TimePoint aNow)
  {
    auto* known = mContext.flows.find(aFlow);
    if (known == nullptr) {
      if (!aPacket.isReset()) {
        begin(aPacket, aFlow, aRoute, aNow);
      }
      return;
    }
    known->lastPacketAt = aNow;
    if (!std::exchange(known->isEstablished, true)) {
      adoptOffer(*known, aPacket.acknowledgment());
    }
    const bool isLost =
      known->agent.isNull() ||
      (!known->isConfirmed && mContext.loads.isSuspected(known->agent, aNow)) ||
      !mContext.map->serves(aRoute, known->agent);
    if (!isLost) {
      mContext.forward(aPacket, aRoute, *known);
    } else if (mSearches.find(aFlow) == nullptr) {
      known->passedOver.add(known->agent);
      startSearch(aPacket, aFlow, aRoute, *known, aNow);
    }
  }

  /** An agent handed a packet of an open flow back. */
  void handleBack(const PacketType& aPacket,
                  const Packet::FlowKey& aFlow,
                  const Route& aRoute,
                  const Core::Endpoint& aFrom,
                  Core::TimePoint aNow)
  {
    auto* known = mContext.flows.find(aFlow);
    auto& memory =
      known != nullptr ? *known : mContext.flows.insert(aFlow, aNow);
    memory.isEstablished = true;
    memory.declinedBy.add(aFrom);
    const bool isElsewhere = !memory.agent.isNull() && memory.agent != aFrom;
    if (isElsewhere) {
      mContext.forward(aPacket, aRoute, memory);
      return;
    }
    memory.passedOver.add(aFrom);
    askNext(aPacket, aFlow, aRoute, memory, aNow);
  }

  /**
   * The owner is known. aAsked is the agent that had the flow's packets last;
   * they may be on their way back from it, or lost.
   */
  void noteFound(const Packet::FlowKey& aFlow, const Core::Endpoint& aAsked)
  {
    const auto search = mSearches.take(aFlow);
    const auto* known = mContext.flows.find(aFlow);
    const auto* route = mContext.findRoute(aFlow);
    if (!search || known == nullptr || route == nullptr ||
        known->agent == aAsked) {
      return;
    }
    for (const auto& bytes : search->packets) {
      mContext.forward(*Format::parse(bytes), *route, *known);
    }
  }

  /** Goes on where nobody answered. */
  void tick(Core::TimePoint aNow)
  {
    for (const auto& flow :
         mSearches.takeDue(LoadTable::kAnswerTimeout, aNow)) {
      const auto* route = mContext.findRoute(flow);
      auto* known = mContext.flows.find(flow);
      if (route == nullptr || known == nullptr) {
        mSearches.take(flow);
        continue;
      }
      goOn(flow, *route, *known, aNow);
    }
  }

  /** When tick() is due; nothing while nothing is searched. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (mSearches.isEmpty()) {
      return std::nullopt;
    }
    return kTickInterval;
  }

private:
  void begin(const PacketType& aPacket,
             const Packet::FlowKey& aFlow,
             const Route& aRoute,
             Core::TimePoint aNow)
  {
    mContext.counters.increment(SteeringCounter::FlowsSearched);
    mContext.events.write(Telemetry::Event::FlowSearched, [&] {
      return mContext.flowFields(aFlow).add("revision",
                                            mContext.map->revision());
    });
    auto& memory = mContext.flows.insert(aFlow, aNow);
    memory.isEstablished = true;
    startSearch(aPacket, aFlow, aRoute, memory, aNow);
  }

  /** Several backend servers may have answered; the caller chose one. */
  static void adoptOffer(RememberedFlow& aMemory, std::uint32_t aAcknowledgment)
  {
    for (const auto& offer : aMemory.offers) {
      if (offer.sequence + 1 == aAcknowledgment) {
        aMemory.agent = offer.agent;
        aMemory.isConfirmed = true;
      }
    }
  }

  void startSearch(const PacketType& aPacket,
                   const Packet::FlowKey& aFlow,
                   const Route& aRoute,
                   RememberedFlow& aMemory,
                   Core::TimePoint aNow)
  {
    if (auto* search = mSearches.begin(aFlow, aNow); search != nullptr) {
      PendingSearches::keep(*search, aPacket.bytes());
    }
    for (const auto& share : aRoute.shares) {
      for (const auto& target :
           mContext.map->services()[share.service].targets) {
        mContext.sendLocate(target.agent, aFlow);
      }
    }
    askNext(aPacket, aFlow, aRoute, aMemory, aNow);
  }

  /** The agent that was asked is silent. */
  void goOn(const Packet::FlowKey& aFlow,
            const Route& aRoute,
            RememberedFlow& aMemory,
            Core::TimePoint aNow)
  {
    aMemory.passedOver.add(aMemory.agent);
    // The copies are needed until somebody took them.
    const auto packets = mSearches.find(aFlow)->packets;
    if (packets.empty() ||
        !askNext(
          *Format::parse(packets.front()), aFlow, aRoute, aMemory, aNow)) {
      return;
    }
    for (std::size_t i = 1; i < packets.size(); ++i) {
      mContext.forward(*Format::parse(packets[i]), aRoute, aMemory);
    }
  }

  /** Sends a packet to the next agent; false when there is none. */
  bool askNext(const PacketType& aPacket,
               const Packet::FlowKey& aFlow,
               const Route& aRoute,
               RememberedFlow& aMemory,
               Core::TimePoint aNow)
  {
    aMemory.isConfirmed = false;
    aMemory.agent = {};
    const auto order =
      searchOrder(*mContext.map, aRoute, mContext.self.zone, flowHash(aFlow));
    bool haveAllDeclined = !order.empty();
    const Target* next = nullptr;
    for (const auto* target : order) {
      const auto& agent = target->agent;
      haveAllDeclined = haveAllDeclined && aMemory.declinedBy.contains(agent);
      const bool isOut = aMemory.passedOver.contains(agent) ||
                         mContext.loads.isSuspected(agent, aNow);
      // An agent that knows all its flows would have told that it has this one.
      const bool isBetter =
        next == nullptr || (mayHoldUnknown(*target) && !mayHoldUnknown(*next));
      if (!isOut && isBetter) {
        next = target;
      }
    }
    if (next == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      noteExhausted(aPacket, aFlow, aMemory, haveAllDeclined, aNow);
      return false;
    }
    aMemory.agent = next->agent;
    if (auto* search = mSearches.find(aFlow); search != nullptr) {
      search->askedAt = aNow;
    }
    mContext.loads.noteAsked(aMemory.agent, aNow);
    mContext.forward(aPacket, aRoute, aMemory);
    return true;
  }

  bool mayHoldUnknown(const Target& aTarget) const
  {
    return !mContext.loads.find(aTarget.agent).reported.knowsAllFlows;
  }

  /** There is nobody left to ask. */
  void noteExhausted(const PacketType& aPacket,
                     const Packet::FlowKey& aFlow,
                     RememberedFlow& aMemory,
                     bool aHaveAllDeclined,
                     Core::TimePoint aNow)
  {
    mSearches.take(aFlow);
    aMemory.passedOver.clear();
    aMemory.declinedBy.clear();
    if (aMemory.exhaustedAt == Core::TimePoint{}) {
      aMemory.exhaustedAt = aNow;
    }
    const bool isSettled = aNow >= mContext.settledAt ||
                           aNow - aMemory.exhaustedAt >= kSearchAgainAfter;
    if (mContext.isMapCurrent() && aHaveAllDeclined && isSettled) {
      mContext.resetUnknown(aPacket, "no target holds the flow");
      mContext.flows.erase(aFlow);
    }
  }

  SteererContext<Format, Port>& mContext;
  PendingSearches mSearches;
};

} // namespace Steering
