#pragma once

#include "steering/pendingsearches.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <algorithm>
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
   * A packet waits so long for the answer to a question before agents get it
   * in turn: half of the time that an answer may take. The owner tells within
   * a millisecond in its zone, ten in another one, if its agent knows the flow.
   */
  static constexpr auto kTryAfter = LoadTable::kAnswerTimeout / 2;
  /**
   * More agents are asked about a flow so often, and about one flow each
   * kTickInterval. Sixteen agents for each of 100 flows a second take a tenth
   * of a link of 10 Mbit/s, so that a link that is full of packets isn't filled
   * further.
   */
  static constexpr auto kAskMoreAfter = LoadTable::kAnswerTimeout;
  /** Agents asked at once for an owner: both shortlists. */
  static constexpr std::size_t kFirstAsked = 2 * kShortlistSize;
  /** Agents that are told of an owner further on: one may restart. */
  static constexpr std::size_t kTold = 2;
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
    if (auto* search = mSearches.find(aFlow); search != nullptr) {
      PendingSearches::keep(*search, aPacket.bytes());
    } else if (!isLost) {
      mContext.forward(aPacket, aRoute, *known);
    } else {
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
    auto& memory = mContext.flows.findOrInsert(aFlow, aNow);
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
   * The owner is known. aAsked is the agent that had the flow's first packet
   * last; that may be on its way back from it, or lost.
   */
  void noteFound(const Packet::FlowKey& aFlow, const Core::Endpoint& aAsked)
  {
    const auto search = mSearches.take(aFlow);
    const auto* known = mContext.flows.find(aFlow);
    const auto* route = mContext.findRoute(aFlow);
    if (!search || known == nullptr || route == nullptr) {
      return;
    }
    const std::size_t first = known->agent == aAsked ? 1 : 0;
    for (auto i = first; i < search->packets.size(); ++i) {
      mContext.forward(*Format::parse(search->packets[i]), *route, *known);
    }
  }

  /**
   * Has those who are asked first for a flow know its owner, if the owner is
   * not one of them.
   */
  void tellOwner(const Packet::FlowKey& aFlow, const Core::Endpoint& aOwner)
  {
    const auto* route = mContext.findRoute(aFlow);
    if (route == nullptr) {
      return;
    }
    const auto order =
      searchOrder(*mContext.map, *route, mContext.self.zone, flowHash(aFlow));
    const auto asked = std::min(order.size(), kFirstAsked);
    for (std::size_t i = 0; i < asked; ++i) {
      if (order[i]->agent == aOwner) {
        return;
      }
    }
    for (std::size_t i = 0; i < std::min(asked, kTold); ++i) {
      mContext.sendHint(order[i]->agent, { aFlow, aOwner });
    }
  }

  /** An agent was told that another one has the flow. */
  void tryNamed(const OwnerHint& aHint, Core::TimePoint aNow)
  {
    auto* search = mSearches.find(aHint.flow);
    auto* known = mContext.flows.find(aHint.flow);
    const auto* route = mContext.findRoute(aHint.flow);
    if (search == nullptr || known == nullptr || route == nullptr) {
      return;
    }
    const bool isUseless = known->agent == aHint.agent ||
                           known->passedOver.contains(aHint.agent) ||
                           !mContext.map->serves(*route, aHint.agent);
    if (!isUseless && !search->packets.empty()) {
      known->agent = aHint.agent;
      search->triedAt = aNow;
      mContext.loads.noteAsked(aHint.agent, aNow);
      mContext.forward(*Format::parse(search->packets.front()), *route, *known);
    }
  }

  /** Goes on where nobody answered. */
  void tick(Core::TimePoint aNow)
  {
    mSearches.expire(aNow);
    askMore(aNow);
    for (const auto& flow : mSearches.untried(kTryAfter, aNow)) {
      withSearch(flow, [&](const auto& aRoute, auto& aMemory) {
        tryNext(flow, aRoute, aMemory, aNow);
      });
    }
    for (const auto& flow :
         mSearches.unanswered(LoadTable::kAnswerTimeout, aNow)) {
      withSearch(flow, [&](const auto& aRoute, auto& aMemory) {
        aMemory.passedOver.add(aMemory.agent);
        tryNext(flow, aRoute, aMemory, aNow);
      });
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
    auto* search = mSearches.begin(aFlow, aNow);
    if (search == nullptr) {
      askNext(aPacket, aFlow, aRoute, aMemory, aNow);
      return;
    }
    aMemory.agent = {};
    aMemory.isConfirmed = false;
    PendingSearches::keep(*search, aPacket.bytes());
    locateMore(aFlow, aRoute, *search, aNow);
  }

  /** Asks agents in search order for the owner, each time twice as many. */
  void locateMore(const Packet::FlowKey& aFlow,
                  const Route& aRoute,
                  PendingSearch& aSearch,
                  Core::TimePoint aNow)
  {
    const auto order =
      searchOrder(*mContext.map, aRoute, mContext.self.zone, flowHash(aFlow));
    const auto end = std::min(order.size(), aSearch.located * 2 + kFirstAsked);
    for (auto i = aSearch.located; i < end; ++i) {
      mContext.sendLocate(order[i]->agent, aFlow);
    }
    aSearch.located = std::max(aSearch.located, end);
    aSearch.areAllLocated = aSearch.located >= order.size();
    aSearch.locatedAt = aNow;
  }

  /** Asks more agents about the flow that waited longest for that. */
  void askMore(Core::TimePoint aNow)
  {
    if (aNow - mAskedMoreAt < kTickInterval) {
      return;
    }
    const auto flow = mSearches.longestUnlocated(kAskMoreAfter, aNow);
    if (flow) {
      mAskedMoreAt = aNow;
      withSearch(*flow, [&](const auto& aRoute, auto& /*aMemory*/) {
        locateMore(*flow, aRoute, *mSearches.find(*flow), aNow);
      });
    }
  }

  /** Calls aStep for a search; ends one whose flow or route is gone. */
  template<typename Step>
  void withSearch(const Packet::FlowKey& aFlow, Step aStep)
  {
    const auto* route = mContext.findRoute(aFlow);
    auto* known = mContext.flows.find(aFlow);
    if (route == nullptr || known == nullptr) {
      mSearches.take(aFlow);
    } else if (mSearches.find(aFlow) != nullptr) {
      aStep(*route, *known);
    }
  }

  /** Sends the first packet kept to the next agent. */
  void tryNext(const Packet::FlowKey& aFlow,
               const Route& aRoute,
               RememberedFlow& aMemory,
               Core::TimePoint aNow)
  {
    // The search may end, and the packet with it.
    const auto packets = mSearches.find(aFlow)->packets;
    if (!packets.empty()) {
      askNext(*Format::parse(packets.front()), aFlow, aRoute, aMemory, aNow);
    }
  }

  /** Sends a packet to the next agent, or ends the search. */
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
      return;
    }
    aMemory.agent = next->agent;
    if (auto* search = mSearches.find(aFlow); search != nullptr) {
      search->triedAt = aNow;
    }
    mContext.loads.noteAsked(aMemory.agent, aNow);
    mContext.forward(aPacket, aRoute, aMemory);
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
  /** When more agents were asked about a flow. */
  Core::TimePoint mAskedMoreAt{};
};

} // namespace Steering
