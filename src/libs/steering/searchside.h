#pragma once

#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <chrono>

namespace Steering {

/**
 * Finds the owner of a flow that a balancer does not know, by asking one agent
 * after the other. All packets of a flow share one search.
 */
template<PacketFormat Format, SteererPort Port>
class SearchSide
{
public:
  using PacketType = typename Format::Packet;

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
      !known->isConfirmed && mContext.loads.isSuspected(known->agent, aNow);
    if (known->agent.isNull() || isLost ||
        !mContext.map->serves(aRoute, known->agent)) {
      known->passedOver.add(known->agent);
      askNext(aPacket, aFlow, aRoute, *known, aNow);
      return;
    }
    mContext.forward(aPacket, aRoute, *known);
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
    const bool isElsewhere = !memory.agent.isNull() && memory.agent != aFrom;
    if (isElsewhere) {
      mContext.forward(aPacket, aRoute, memory);
      return;
    }
    memory.passedOver.add(aFrom);
    memory.declinedBy.add(aFrom);
    askNext(aPacket, aFlow, aRoute, memory, aNow);
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
    askNext(aPacket, aFlow, aRoute, memory, aNow);
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

  void askNext(const PacketType& aPacket,
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
    for (const auto* target : order) {
      const auto& agent = target->agent;
      haveAllDeclined = haveAllDeclined && aMemory.declinedBy.contains(agent);
      if (!aMemory.passedOver.contains(agent) &&
          !mContext.loads.isSuspected(agent, aNow)) {
        aMemory.agent = agent;
        mContext.loads.noteAsked(agent, aNow);
        mContext.forward(aPacket, aRoute, aMemory);
        return;
      }
    }
    mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
    noteExhausted(aPacket, aFlow, aMemory, haveAllDeclined, aNow);
  }

  /** There is nobody left to ask. */
  void noteExhausted(const PacketType& aPacket,
                     const Packet::FlowKey& aFlow,
                     RememberedFlow& aMemory,
                     bool aHaveAllDeclined,
                     Core::TimePoint aNow)
  {
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
};

} // namespace Steering
