#pragma once

#include "steering/pendingsearches.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Steering {

/**
 * Finds the owner of an unknown flow. Agents are queried whether they own it.
 * A restarted agent may not know the flows of its backend server. Therefore one
 * packet of the flow is also sent to one after the other of the agents that
 * reply so; backend servers return packets of flows that they do not own.
 * Agents that do not reply are queried again. All packets of a flow share one
 * search.
 */
template<PacketFormat Format, BalancerOutput Output>
class OwnerSearch
{
public:
  using PacketType = typename Format::Packet;

  /** Interval at which searches in progress are checked. */
  static constexpr std::chrono::milliseconds kTickInterval{ 10 };
  /**
   * How long a packet waits for replies to the queries before it is sent to one
   * agent after the other: half of the reply timeout. An owner whose agent
   * knows the flow replies within a millisecond in its zone, and within ten
   * from another zone.
   */
  static constexpr auto kForwardDelay = AgentLoadTable::kReplyTimeout / 2;
  /**
   * Time between two rounds of queries for the same flow, unless all agents
   * replied. Queries and forwarded packets of all searches share a LinkBudget.
   */
  static constexpr auto kQueryInterval = AgentLoadTable::kReplyTimeout;
  /** How often the time between two passes of queries is doubled. */
  static constexpr int kMaxPassDoublings = 2;
  /** Number of agents in the first round of queries: both shortlists. */
  static constexpr std::size_t kFirstQueryCount = 2 * kShortlistSize;
  /** Number of agents that get an owner hint: two, since one may restart. */
  static constexpr std::size_t kMaxHintedAgents = 2;
  /**
   * While targets are being added, a flow without an owner is reset only after
   * a second search, at least this much later, also finds no owner. The delay
   * is twice the time for which a balancer that reaches the platform may batch
   * changes.
   */
  static constexpr std::chrono::milliseconds kSecondSearchDelay{ 800 };
  /**
   * Of the agents that may own a flow, the one that started last has missed
   * most flows. Those that started within this time of each other are equal.
   */
  static constexpr std::chrono::milliseconds kSameStartTime{ 1'000 };
  /** Stands for an agent that does not tell for how long it has run. */
  static constexpr std::chrono::milliseconds kUnknownHistory =
    std::chrono::hours(1);

  explicit OwnerSearch(SteererContext<Format, Output>& aContext)
    : mContext(aContext)
  {
  }

  /** Handles a packet other than a SYN. */
  void handlePacket(const PacketType& aPacket,
                    const Packet::FlowKey& aFlow,
                    const Route& aRoute,
                    Core::TimePoint aNow)
  {
    forgetOtherFlow(aPacket, aFlow);
    auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (cachedFlow == nullptr) {
      if (!aPacket.isReset()) {
        searchUnknownFlow(aPacket, aFlow, aRoute, aNow);
      }
      return;
    }
    cachedFlow->callerSequence.record(aPacket);
    cachedFlow->lastPacketAt = aNow;
    if (markEstablished(*cachedFlow)) {
      setAcknowledgedAgent(*cachedFlow, aPacket.acknowledgment());
    }
    const bool needsSearch =
      cachedFlow->agent.isNull() ||
      (!cachedFlow->isConfirmed &&
       mContext.loads.isSuspected(cachedFlow->agent, aNow)) ||
      !mContext.mayOwnFlow(aRoute, *cachedFlow);
    if (auto* search = mSearches.find(aFlow); search != nullptr) {
      PendingSearches::bufferPacket(*search, aPacket.bytes());
      if (search->isExhausted()) {
        // Callers retransmit at ever longer intervals, so waiting for the next
        // packet of the flow would take seconds.
        search->restart();
        queryMoreAgents(aFlow, aRoute, *cachedFlow, *search, aNow);
      }
    } else if (!needsSearch) {
      mContext.forward(aPacket, aRoute, *cachedFlow);
    } else {
      if (cachedFlow->isConfirmed) {
        cachedFlow->lostOwnerServiceTag = cachedFlow->serviceTag;
      }
      cachedFlow->excludedAgents.add(cachedFlow->agent);
      startSearch(aPacket, aFlow, aRoute, *cachedFlow, aNow);
    }
  }

  /**
   * Forgets a flow if the packet is of another one that its caller has opened
   * from the same port. Returns whether it did.
   */
  bool forgetOtherFlow(const PacketType& aPacket, const Packet::FlowKey& aFlow)
  {
    const auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (cachedFlow == nullptr ||
        !cachedFlow->callerSequence.isOtherFlow(aPacket)) {
      return false;
    }
    mContext.counters.increment(SteeringCounter::FlowsReplaced);
    mContext.events.write(Telemetry::Event::FlowReplaced, [&] {
      return mContext.flowFields(aFlow).add(
        "agent", Core::formatEndpoint(cachedFlow->agent));
    });
    mSearches.take(aFlow);
    mContext.flowCache.erase(aFlow);
    return true;
  }

  /** Handles a packet of an established flow that an agent rejected. */
  void handleRejectedPacket(const PacketType& aPacket,
                            const Packet::FlowKey& aFlow,
                            const Route& aRoute,
                            const Core::Endpoint& aFrom,
                            Core::TimePoint aNow)
  {
    auto& cachedFlow = mContext.flowCache.findOrInsert(aFlow, aNow);
    markEstablished(cachedFlow);
    cachedFlow.rejectedBy.add(aFrom);
    cachedFlow.excludedAgents.add(aFrom);
    auto* search = mSearches.find(aFlow);
    if (search != nullptr) {
      if (cachedFlow.agent == aFrom) {
        forwardFirstPacket(aFlow, aRoute, cachedFlow, aNow);
      } else if (!search->isFirstPacket(aPacket.bytes())) {
        PendingSearches::bufferPacket(*search, aPacket.bytes());
      }
    } else if (!cachedFlow.agent.isNull() && cachedFlow.agent != aFrom) {
      mContext.forward(aPacket, aRoute, cachedFlow);
    } else {
      startSearch(aPacket, aFlow, aRoute, cachedFlow, aNow);
    }
  }

  /**
   * Handles the reply of an agent that it does not know the flow. aIsCertain:
   * its backend server does not own the flow.
   */
  void handleUnknownFlow(const Packet::FlowKey& aFlow,
                         const Core::Endpoint& aFrom,
                         bool aIsCertain)
  {
    auto* search = mSearches.find(aFlow);
    auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (search == nullptr || cachedFlow == nullptr) {
      return;
    }
    search->awaitedAgents.remove(aFrom);
    search->hasNews = true;
    if (aIsCertain) {
      cachedFlow->excludedAgents.add(aFrom);
      cachedFlow->rejectedBy.add(aFrom);
    } else {
      search->uncertainAgents.add(aFrom);
    }
  }

  /**
   * Ends a search after the owner was found, and forwards the buffered packets
   * to it. aPreviousAgent is the agent to which the first buffered packet was
   * last forwarded. If that is the owner, the packet is not forwarded again.
   * Otherwise it is, since the agent's rejection may still be in flight, or
   * lost.
   */
  void finishSearch(const Packet::FlowKey& aFlow,
                    const Core::Endpoint& aPreviousAgent)
  {
    const auto search = mSearches.take(aFlow);
    const auto* cachedFlow = mContext.flowCache.find(aFlow);
    const auto* route = mContext.findRoute(aFlow);
    if (!search || cachedFlow == nullptr || route == nullptr) {
      return;
    }
    const std::size_t first = cachedFlow->agent == aPreviousAgent ? 1 : 0;
    for (auto i = first; i < search->packets.size(); ++i) {
      mContext.forward(*Format::parse(search->packets[i]), *route, *cachedFlow);
    }
  }

  /**
   * Sends an owner hint to the first kMaxHintedAgents agents in search order.
   * No hint is needed if the owner itself gets a query in the first round.
   */
  void sendOwnerHints(const Packet::FlowKey& aFlow,
                      const Core::Endpoint& aOwner)
  {
    const auto* route = mContext.findRoute(aFlow);
    if (route == nullptr) {
      return;
    }
    const auto order = searchOrder(*route, aFlow);
    const auto firstQueryCount = std::min(order.size(), kFirstQueryCount);
    for (std::size_t i = 0; i < firstQueryCount; ++i) {
      if (order[i]->agent == aOwner) {
        return;
      }
    }
    for (std::size_t i = 0; i < std::min(firstQueryCount, kMaxHintedAgents);
         ++i) {
      mContext.sendOwnerHint(order[i]->agent, { aFlow, aOwner });
    }
  }

  /**
   * Handles an owner hint of an agent: sends the first buffered packet to the
   * agent that the hint names. An agent that is unlikely to own the flow is
   * queried instead.
   */
  void handleOwnerHint(const OwnerHint& aHint, Core::TimePoint aNow)
  {
    auto* search = mSearches.find(aHint.flow);
    auto* cachedFlow = mContext.flowCache.find(aHint.flow);
    const auto* route = mContext.findRoute(aHint.flow);
    if (search == nullptr || cachedFlow == nullptr || route == nullptr ||
        search->packets.empty() || cachedFlow->agent == aHint.agent ||
        cachedFlow->excludedAgents.contains(aHint.agent)) {
      return;
    }
    switch (mContext.ownerChance(*route, aHint.agent)) {
      case OwnerChance::None:
        return;
      case OwnerChance::Unlikely:
        if (needsQuery(aHint.agent, *cachedFlow, *search)) {
          queryAgent(aHint.agent, aHint.flow, true, *search, aNow);
        }
        return;
      case OwnerChance::Possible:
        cachedFlow->agent = aHint.agent;
        search->recordForward(aNow);
        forwardInSearch(
          *Format::parse(search->packets.front()), *route, *cachedFlow, aNow);
    }
  }

  /** Continues searches whose agents did not reply. */
  void tick(Core::TimePoint aNow)
  {
    mSearches.expire(aNow);
    for (const auto& flow :
         mSearches.exhaustedFlows(kSecondSearchDelay, aNow)) {
      updateSearch(flow, [&](const auto& /*aRoute*/, auto& /*aCachedFlow*/) {
        mSearches.find(flow)->restart();
      });
    }
    sendDueQueries(aNow);
    for (const auto& flow : mSearches.continuableFlows(kForwardDelay, aNow)) {
      updateSearch(flow, [&](const auto& aRoute, auto& aCachedFlow) {
        mSearches.find(flow)->hasNews = false;
        forwardFirstPacket(flow, aRoute, aCachedFlow, aNow);
      });
    }
    for (const auto& flow :
         mSearches.unansweredFlows(AgentLoadTable::kReplyTimeout, aNow)) {
      updateSearch(flow, [&](const auto& aRoute, auto& aCachedFlow) {
        handleMissingReply(flow, aRoute, aCachedFlow, aNow);
      });
    }
  }

  /** Queries targets that the map did not contain before. */
  void handleNewTargets() { mSearches.beginNewPasses(); }

  std::size_t searchCount() const { return mSearches.size(); }

  /** Time until tick() is due; std::nullopt if no search is in progress. */
  std::optional<std::chrono::milliseconds> timeUntilTick() const
  {
    if (mSearches.isEmpty()) {
      return std::nullopt;
    }
    return kTickInterval;
  }

private:
  std::vector<const Target*> searchOrder(const Route& aRoute,
                                         const Packet::FlowKey& aFlow) const
  {
    auto order = Steering::searchOrder(*mContext.map,
                                       aRoute,
                                       mContext.config.zone,
                                       flowHash(aFlow),
                                       mContext.now,
                                       mContext.isMapOutdated());
    const auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (cachedFlow != nullptr && cachedFlow->lostOwnerServiceTag != 0) {
      keepTargetsOf(cachedFlow->lostOwnerServiceTag, order);
    }
    return order;
  }

  /** No-op if the service has no target any more. */
  void keepTargetsOf(std::uint32_t aServiceTag,
                     std::vector<const Target*>& aOrder) const
  {
    const auto isOther = [&](const Target* aTarget) {
      return mContext.map->serviceOf(aTarget->agent).tag != aServiceTag;
    };
    if (!std::all_of(aOrder.begin(), aOrder.end(), isOther)) {
      std::erase_if(aOrder, isOther);
    }
  }

  void searchUnknownFlow(const PacketType& aPacket,
                         const Packet::FlowKey& aFlow,
                         const Route& aRoute,
                         Core::TimePoint aNow)
  {
    mContext.counters.increment(SteeringCounter::FlowsSearched);
    mContext.events.write(Telemetry::Event::FlowSearched, [&] {
      return mContext.flowFields(aFlow).add(
        "revision", formatMapRevision(mContext.map->revision()));
    });
    auto& cachedFlow = mContext.flowCache.insert(aFlow, aNow);
    cachedFlow.isEstablished = true;
    cachedFlow.callerSequence.record(aPacket);
    startSearch(aPacket, aFlow, aRoute, cachedFlow, aNow);
  }

  /**
   * Returns whether the flow was not established before. A target that rejected
   * its SYN may have accepted a copy from another balancer.
   */
  static bool markEstablished(CachedFlow& aCachedFlow)
  {
    if (std::exchange(aCachedFlow.isEstablished, true)) {
      return false;
    }
    aCachedFlow.excludedAgents.clear();
    aCachedFlow.rejectedBy.clear();
    return true;
  }

  /**
   * Several backend servers may have sent a SYN-ACK. The owner is the one that
   * the caller acknowledged.
   */
  static void setAcknowledgedAgent(CachedFlow& aCachedFlow,
                                   std::uint32_t aAcknowledgment)
  {
    for (const auto& synAck : aCachedFlow.synAcks) {
      if (synAck.sequence + 1 == aAcknowledgment) {
        aCachedFlow.agent = synAck.agent;
        aCachedFlow.isConfirmed = true;
        aCachedFlow.serviceTag = synAck.serviceTag;
      }
    }
  }

  void startSearch(const PacketType& aPacket,
                   const Packet::FlowKey& aFlow,
                   const Route& aRoute,
                   CachedFlow& aCachedFlow,
                   Core::TimePoint aNow)
  {
    auto* search = mSearches.add(aFlow, aNow);
    if (search == nullptr) {
      forwardToNextAgent(aPacket, aFlow, aRoute, aCachedFlow, aNow);
      return;
    }
    aCachedFlow.agent = {};
    aCachedFlow.isConfirmed = false;
    PendingSearches::bufferPacket(*search, aPacket.bytes());
    queryMoreAgents(aFlow, aRoute, aCachedFlow, *search, aNow);
  }

  /**
   * Queries the next agents in search order for the owner. Each round more than
   * doubles the number of queried agents.
   */
  void queryMoreAgents(const Packet::FlowKey& aFlow,
                       const Route& aRoute,
                       const CachedFlow& aCachedFlow,
                       PendingSearch& aSearch,
                       Core::TimePoint aNow)
  {
    const auto order = searchOrder(aRoute, aFlow);
    const auto end =
      std::min(order.size(), aSearch.queriedCount * 2 + kFirstQueryCount);
    // Most owners are found in the first round, so only they reply to it.
    aSearch.areRepliesRequested =
      aSearch.queriedCount > 0 || aSearch.passCount > 0;
    for (auto i = aSearch.queriedCount; i < end; ++i) {
      const auto& agent = order[i]->agent;
      if (needsQuery(agent, aCachedFlow, aSearch)) {
        queryAgent(agent, aFlow, aSearch.areRepliesRequested, aSearch, aNow);
      }
    }
    aSearch.queriedCount = std::max(aSearch.queriedCount, end);
    aSearch.areAllQueried = aSearch.queriedCount >= order.size();
    aSearch.lastQueryAt = aNow;
  }

  /** aIsReplyRequested: the agent replies also if it knows no owner. */
  void queryAgent(const Core::Endpoint& aAgent,
                  const Packet::FlowKey& aFlow,
                  bool aIsReplyRequested,
                  PendingSearch& aSearch,
                  Core::TimePoint aNow)
  {
    mContext.sendOwnerQuery(aAgent, aFlow, aIsReplyRequested);
    if (aIsReplyRequested) {
      mContext.loads.expectReply(aAgent, aNow);
      aSearch.awaitedAgents.add(aAgent);
    }
  }

  /**
   * An agent that is excluded only because it did not reply may be suspended,
   * and is queried again.
   */
  static bool needsQuery(const Core::Endpoint& aAgent,
                         const CachedFlow& aCachedFlow,
                         const PendingSearch& aSearch)
  {
    const bool isUntried = !aCachedFlow.excludedAgents.contains(aAgent);
    return !aCachedFlow.rejectedBy.contains(aAgent) &&
           !(aSearch.uncertainAgents.contains(aAgent) && isUntried);
  }

  /**
   * Sends the queries that are due, for the longest searched flows first. Only
   * the first round of a flow does not wait for the budget: most owners are
   * found by it.
   */
  void sendDueQueries(Core::TimePoint aNow)
  {
    for (const auto& flow : mSearches.flowsToQuery(kQueryInterval, aNow)) {
      if (!mContext.searchBudget.isAvailable(aNow)) {
        return;
      }
      updateSearch(flow, [&](const auto& aRoute, auto& aCachedFlow) {
        auto& search = *mSearches.find(flow);
        if (isQueryDue(search, aNow)) {
          queryMoreAgents(flow, aRoute, aCachedFlow, search, aNow);
        }
      });
    }
  }

  /** Whether another round is due; begins the next pass if there is one. */
  bool isQueryDue(PendingSearch& aSearch, Core::TimePoint aNow)
  {
    if (aSearch.queriedCount == 0) {
      return true;
    }
    const bool isLastRound = aSearch.areAllQueried;
    const bool isFirstPass = aSearch.passCount == 0;
    const bool isComplete = isLastRound && !isFirstPass;
    const auto doublings = std::min(aSearch.passCount, kMaxPassDoublings);
    const auto interval =
      isLastRound ? kQueryInterval * (1 << doublings) : kQueryInterval;
    if ((isComplete || !aSearch.isAnswered()) &&
        !mContext.replies.isOverdue(aSearch.lastQueryAt, interval, aNow)) {
      return false;
    }
    if (isLastRound) {
      aSearch.beginNextPass();
    }
    return true;
  }

  /**
   * Sends the first packet to the same agent again, since it or its rejection
   * may be lost; then tries the next agent.
   */
  void handleMissingReply(const Packet::FlowKey& aFlow,
                          const Route& aRoute,
                          CachedFlow& aCachedFlow,
                          Core::TimePoint aNow)
  {
    auto& search = *mSearches.find(aFlow);
    if (!mContext.isReplyOverdue(search.forwardedAt, aNow)) {
      return;
    }
    if (!search.isForwardRepeated && !search.packets.empty()) {
      search.recordForward(aNow);
      search.isForwardRepeated = true;
      forwardInSearch(
        *Format::parse(search.packets.front()), aRoute, aCachedFlow, aNow);
      return;
    }
    aCachedFlow.excludedAgents.add(aCachedFlow.agent);
    forwardFirstPacket(aFlow, aRoute, aCachedFlow, aNow);
  }

  /** Forwards a packet whose owner is not certain. */
  void forwardInSearch(const PacketType& aPacket,
                       const Route& aRoute,
                       const CachedFlow& aCachedFlow,
                       Core::TimePoint aNow)
  {
    mContext.loads.expectReply(aCachedFlow.agent, aNow);
    mContext.searchBudget.take(aPacket.bytes().size());
    mContext.forward(aPacket, aRoute, aCachedFlow);
  }

  /**
   * Calls aStep for a search, or ends the search if its flow or route no longer
   * exists.
   */
  template<typename Step>
  void updateSearch(const Packet::FlowKey& aFlow, Step aStep)
  {
    const auto* route = mContext.findRoute(aFlow);
    auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (route == nullptr || cachedFlow == nullptr) {
      mSearches.take(aFlow);
    } else if (mSearches.find(aFlow) != nullptr) {
      aStep(*route, *cachedFlow);
    }
  }

  /** Sends the first buffered packet to the next agent. */
  void forwardFirstPacket(const Packet::FlowKey& aFlow,
                          const Route& aRoute,
                          CachedFlow& aCachedFlow,
                          Core::TimePoint aNow)
  {
    // This is a copy, since the search and its packets may be removed below.
    const auto packets = mSearches.find(aFlow)->packets;
    if (!packets.empty()) {
      forwardToNextAgent(
        *Format::parse(packets.front()), aFlow, aRoute, aCachedFlow, aNow);
    }
  }

  /**
   * Sends a packet to the next uncertain agent, or ends the search if no agent
   * is left. No-op while only agents are left that did not reply to the
   * queries.
   */
  void forwardToNextAgent(const PacketType& aPacket,
                          const Packet::FlowKey& aFlow,
                          const Route& aRoute,
                          CachedFlow& aCachedFlow,
                          Core::TimePoint aNow)
  {
    aCachedFlow.isConfirmed = false;
    aCachedFlow.agent = {};
    auto* search = mSearches.find(aFlow);
    if (search == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    const auto candidates =
      findCandidates(aFlow, aRoute, aCachedFlow, *search, aNow);
    if (!candidates.isAnyLeft) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      endExhaustedSearch(
        aPacket, aFlow, aCachedFlow, candidates.haveAllRejected, aNow);
      return;
    }
    if (candidates.next == nullptr) {
      search->forwardedAt = {};
      return;
    }
    aCachedFlow.agent = candidates.next->agent;
    search->recordForward(aNow);
    forwardInSearch(aPacket, aRoute, aCachedFlow, aNow);
  }

  /** The agents that may get a packet of an unknown flow. */
  struct Candidates
  {
    const Target* next = nullptr;
    bool isAnyLeft = false;
    bool isReplyMissing = false;
    bool haveAllRejected = false;
  };

  Candidates findCandidates(const Packet::FlowKey& aFlow,
                            const Route& aRoute,
                            const CachedFlow& aCachedFlow,
                            const PendingSearch& aSearch,
                            Core::TimePoint aNow)
  {
    const auto order = searchOrder(aRoute, aFlow);
    Candidates candidates;
    candidates.haveAllRejected = !order.empty();
    const Target* lastResort = nullptr;
    for (const auto* target : order) {
      const auto& agent = target->agent;
      const bool isSuspected = mContext.loads.isSuspected(agent, aNow);
      // A target that is no longer announced and does not reply is gone, and
      // its flows with it.
      const bool isGone =
        (target->isGone(aNow) || !target->isServiceNamed) && isSuspected;
      candidates.haveAllRejected =
        candidates.haveAllRejected &&
        (aCachedFlow.rejectedBy.contains(agent) || isGone);
      if (aCachedFlow.excludedAgents.contains(agent) || isGone) {
        continue;
      }
      candidates.isAnyLeft = true;
      const bool isUncertain = aSearch.uncertainAgents.contains(agent);
      const bool isPossibleOwner =
        mContext.ownerChance(aRoute, agent) == OwnerChance::Possible;
      candidates.isReplyMissing |=
        isPossibleOwner && !isUncertain && !isSuspected;
      if (!isUncertain || isSuspected) {
        continue;
      }
      if (isPossibleOwner) {
        candidates.next = startedLater(candidates.next, target);
      } else if (mContext.mayForwardTo(aRoute, agent)) {
        lastResort = startedLater(lastResort, target);
      }
    }
    if (candidates.next == nullptr) {
      candidates.next = lastResort;
    }
    if (candidates.isReplyMissing &&
        aSearch.passCount < PendingSearch::kPassesBeforeForwarding) {
      candidates.next = nullptr;
    }
    return candidates;
  }

  /** The target whose agent started later; the first if they are equal. */
  const Target* startedLater(const Target* aFirst, const Target* aSecond) const
  {
    const bool isSecondLater =
      aFirst == nullptr ||
      historyOf(aSecond->agent) + kSameStartTime < historyOf(aFirst->agent);
    return isSecondLater ? aSecond : aFirst;
  }

  /** For how long an agent has known the flows of its backend server. */
  std::chrono::milliseconds historyOf(const Core::Endpoint& aAgent) const
  {
    const auto history = mContext.loads.find(aAgent).reported.history;
    return history == std::chrono::milliseconds::zero() ? kUnknownHistory
                                                        : history;
  }

  /**
   * Ends a search without agents left to try. Resets the flow if it certainly
   * has no owner.
   */
  void endExhaustedSearch(const PacketType& aPacket,
                          const Packet::FlowKey& aFlow,
                          CachedFlow& aCachedFlow,
                          bool aHaveAllRejected,
                          Core::TimePoint aNow)
  {
    aCachedFlow.excludedAgents.clear();
    aCachedFlow.rejectedBy.clear();
    if (aCachedFlow.firstExhaustedAt == Core::TimePoint{}) {
      aCachedFlow.firstExhaustedAt = aNow;
    }
    const bool isSettled =
      aNow >= mContext.targetsSettledAt ||
      aNow - aCachedFlow.firstExhaustedAt >= kSecondSearchDelay;
    if (mContext.isMapCurrent() && aHaveAllRejected && isSettled) {
      mContext.resetUnknownFlow(aPacket, "no target owns the flow");
      mContext.flowCache.erase(aFlow);
      mSearches.take(aFlow);
    } else if (auto* search = mSearches.find(aFlow); search != nullptr) {
      search->exhaustedAt = aNow;
    }
  }

  SteererContext<Format, Output>& mContext;
  PendingSearches mSearches;
};

} // namespace Steering
