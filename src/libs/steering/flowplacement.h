#pragma once

#include "steering/ejectionlimit.h"
#include "steering/loadforecast.h"
#include "steering/pendingflows.h"
#include "steering/queuedflows.h"
#include "steering/queuetime.h"
#include "steering/secondattemptbudget.h"
#include "steering/serviceorder.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"
#include "steering/waitestimate.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/**
 * Selects the targets of new flows. It handles bursts of new flows, targets
 * that do not reply, and the moment when all targets become available again.
 *
 * A new flow goes to a target with a free slot. If there is none, it goes to a
 * target whose queue is short enough for a response on time. Otherwise the flow
 * is queued here. The flows of a service leave the queue in the order of
 * ServiceOrder.
 *
 * If the routes of a service have different priorities, the service time counts
 * as part of the wait, flows that can no longer be answered before their caller
 * gives up are refused, and second attempts after a rejection as full are
 * limited.
 */
template<PacketFormat Format, BalancerOutput Output>
class FlowPlacement
{
public:
  using PacketType = typename Format::Packet;

  /**
   * Interval between two attempts to place queued flows. They are also retried
   * when an agent reports its load.
   */
  static constexpr std::chrono::milliseconds kRetryInterval{ 20 };
  /** A flow is queued after it was rejected as full this many times. */
  static constexpr int kMaxFullRejections = 8;

  explicit FlowPlacement(SteererContext<Format, Output>& aContext)
    : mContext(aContext)
    , mPendingFlows(aContext.config.retransmissionSchedule)
  {
  }

  /** Handles a SYN or its retransmission. */
  void handleSyn(const PacketType& aPacket,
                 const Packet::FlowKey& aFlow,
                 Core::TimePoint aNow)
  {
    auto* cachedFlow = mContext.flowCache.find(aFlow);
    if (cachedFlow != nullptr &&
        (cachedFlow->isConfirmed || cachedFlow->isEstablished)) {
      handleLateCopy(aPacket, aFlow, *cachedFlow, aNow);
      return;
    }
    auto* pending = mPendingFlows.find(aFlow);
    if (pending == nullptr) {
      pending = mPendingFlows.add(
        aFlow, aPacket.bytes(), aPacket.retransmissionCount(), aNow);
      if (pending == nullptr) {
        mContext.counters.increment(SteeringCounter::OpeningsDropped);
        return;
      }
    } else {
      mContext.counters.increment(SteeringCounter::OpeningsRepeated);
      mPendingFlows.recordRetransmission(
        *pending, aPacket.retransmissionCount(), aNow);
      if (pending->isQueued()) {
        sendCopyToEvacuatedTarget(aPacket, aFlow, aNow);
        return;
      }
      if (!mContext.isReplyOverdue(pending->forwardedAt, aNow)) {
        return;
      }
      abandonUnresponsiveAgent(*pending, aNow);
    }
    placeFlow(*pending, aNow);
    sendCopyToEvacuatedTarget(aPacket, aFlow, aNow);
  }

  /** Handles a SYN that an agent rejected. */
  void handleRejectedSyn(const Packet::FlowKey& aFlow,
                         const Core::Endpoint& aFrom,
                         RejectReason aReason,
                         Core::TimePoint aNow)
  {
    auto& cachedFlow = mContext.flowCache.findOrInsert(aFlow, aNow);
    if (aReason == RejectReason::Full) {
      mContext.counters.increment(SteeringCounter::FlowsTurnedAway);
      ++cachedFlow.fullRejections;
    } else if (!isWithoutBudget(aFrom, aReason, aNow)) {
      cachedFlow.excludedAgents.add(aFrom);
    }
    if (aReason == RejectReason::SlowStartLimit) {
      mContext.counters.increment(SteeringCounter::SlowStartRejects);
    }
    if (aReason == RejectReason::Ejected) {
      mContext.counters.increment(SteeringCounter::FlowsRejectedEjected);
    }
    if (aReason == RejectReason::Refused ||
        aReason == RejectReason::WrongService ||
        aReason == RejectReason::Draining ||
        aReason == RejectReason::Evacuated) {
      cachedFlow.rejectedBy.add(aFrom);
    }
    if (aReason == RejectReason::Evacuated) {
      mContext.counters.increment(SteeringCounter::OpeningsEvacuated);
    }
    auto* pending = mPendingFlows.find(aFlow);
    // A restarted agent does not know what its backend server got before.
    if (pending != nullptr &&
        mContext.loads.find(aFrom).reported.hasFullHistory) {
      pending->unansweredAgents.remove(aFrom);
    }
    if (pending == nullptr || pending->agent != aFrom) {
      // The SYN was answered or sent to another agent in the meantime.
      return;
    }
    pending->wasFull = aReason == RejectReason::Full;
    pending->mayBeAtTarget |= aReason == RejectReason::Unresponsive;
    mPendingFlows.markQueued(*pending);
    placeFlow(*pending, aNow);
  }

  /**
   * Ends the placement of a flow, after a target sent a SYN-ACK or the caller
   * sent its next packet.
   */
  void finishPlacement(const Packet::FlowKey& aFlow)
  {
    mPendingFlows.erase(aFlow);
  }

  /** Tries to place the queued flows, after a new map or a load report. */
  void retryQueued(Core::TimePoint aNow)
  {
    mLastRetryAt = aNow;
    if (mContext.map == nullptr) {
      return;
    }
    mPendingFlows.removeEmptyAddresses();
    // Ordered by index, so that services are served in the same order in every
    // run.
    std::map<std::size_t, std::vector<QueuedRoute>> services;
    std::vector<Packet::FlowKey> withoutRoute;
    for (const auto& [address, flows] : mPendingFlows.queuedFlows()) {
      const auto* route = mContext.findRoute(flows.begin()->flow);
      if (route == nullptr) {
        for (const auto& queued : flows) {
          withoutRoute.push_back(queued.flow);
        }
        continue;
      }
      for (const auto& share : route->shares) {
        services[share.service].push_back({ route, &flows });
      }
    }
    for (const auto& flow : withoutRoute) {
      placeFlow(*mPendingFlows.find(flow), aNow);
    }
    for (const auto& [service, routes] : services) {
      retryService(service, routes, aNow);
    }
  }

  void tick(Core::TimePoint aNow)
  {
    if (mPendingFlows.isEmpty()) {
      return;
    }
    dropExpired(aNow);
    for (const auto& flow :
         mPendingFlows.unansweredFlows(AgentLoadTable::kReplyTimeout, aNow)) {
      auto* pending = mPendingFlows.find(flow);
      if (mContext.isReplyOverdue(pending->forwardedAt, aNow)) {
        abandonUnresponsiveAgent(*pending, aNow);
        placeFlow(*pending, aNow);
      }
    }
    if (aNow - mLastRetryAt >= kRetryInterval) {
      retryQueued(aNow);
    }
  }

  /** Time until tick() is due; std::nullopt if no flow is pending. */
  std::optional<std::chrono::milliseconds> timeUntilTick() const
  {
    if (mPendingFlows.isEmpty()) {
      return std::nullopt;
    }
    return kRetryInterval;
  }

  std::size_t pendingCount() const { return mPendingFlows.size(); }

  bool hasQueued() const { return mPendingFlows.queuedCount() > 0; }

private:
  /**
   * Handles the copy of a SYN that a target has answered. The caller of an
   * established flow does not need the answer again, and a target that takes no
   * new flows could take the SYN for one.
   */
  void handleLateCopy(const PacketType& aPacket,
                      const Packet::FlowKey& aFlow,
                      CachedFlow& aCachedFlow,
                      Core::TimePoint aNow)
  {
    aCachedFlow.lastPacketAt = aNow;
    const auto* target = mContext.map->findTarget(aCachedFlow.agent);
    if (aCachedFlow.isEstablished &&
        (target == nullptr || !target->acceptsNewFlows(aNow))) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    mContext.forward(aPacket, *mContext.findRoute(aFlow), aCachedFlow);
  }

  /** Result of an attempt to place a flow. */
  enum class Placement : std::uint8_t
  {
    Sent,
    /** The flow was refused, or has no route. */
    Removed,
    /** No target has capacity for flows of this class. */
    NoCapacity,
    /** This flow waits, but others of its class may find a target. */
    Deferred,
  };

  /** A route with queued flows. */
  struct QueuedRoute
  {
    const Route* route = nullptr;
    const QueuedFlowSet* flows = nullptr;
  };

  std::size_t serviceIndexOf(const Packet::FlowKey& aFlow,
                             const Route& aRoute) const
  {
    return aRoute.shares.size() == 1 ? aRoute.shares.front().service
                                     : selectService(aRoute, flowHash(aFlow));
  }

  /** Places the queued flows of one service while it has capacity. */
  void retryService(std::size_t aServiceIndex,
                    const std::vector<QueuedRoute>& aRoutes,
                    Core::TimePoint aNow)
  {
    const auto& service = mContext.map->services()[aServiceIndex];
    collectCandidates(service, {}, aNow);
    const auto wait = currentWait(service, aNow);
    std::vector<QueuedFlowCursor> cursors;
    for (const auto& [route, flows] : aRoutes) {
      refuseUnanswerable(service, *route, *flows, wait, aNow);
      cursors.emplace_back(*flows, limitsOf(service, *route, wait, aNow), aNow);
      skipOtherServices(cursors.back(), *route, aServiceIndex);
    }
    auto& order = mOrders[service.tag];
    std::vector<WaitingRequest> heads;
    std::vector<std::size_t> indexes;
    while (true) {
      heads.clear();
      indexes.clear();
      for (std::size_t i = 0; i < cursors.size(); ++i) {
        if (!cursors[i].isAtEnd()) {
          heads.push_back(cursors[i].request());
          indexes.push_back(i);
        }
      }
      if (heads.empty()) {
        return;
      }
      const auto next = order.selectNext(heads, aNow);
      auto& cursor = cursors[indexes[next]];
      const auto result = placeFlow(*mPendingFlows.find(cursor.flow()), aNow);
      if (result == Placement::NoCapacity) {
        skipClasses(cursors, cursor.priority(), cursor.isOnTime());
      } else {
        cursor.advance();
      }
      if (result == Placement::Sent) {
        order.recordServed(heads, next);
      }
      for (std::size_t i = 0; i < cursors.size(); ++i) {
        skipOtherServices(cursors[i], *aRoutes[i].route, aServiceIndex);
      }
    }
  }

  /**
   * If one flow finds no target in a service, no other flow of its class or of
   * a less urgent one will. Late flows may find one if a flow on time does not.
   */
  static void skipClasses(std::vector<QueuedFlowCursor>& aCursors,
                          std::uint8_t aPriority,
                          bool aIsOnTime)
  {
    for (auto& cursor : aCursors) {
      if (cursor.priority() < aPriority) {
        continue;
      }
      if (aIsOnTime) {
        cursor.skipOnTime();
      } else if (!cursor.isOnTime()) {
        cursor.skipAll();
      }
    }
  }

  void skipOtherServices(QueuedFlowCursor& aCursor,
                         const Route& aRoute,
                         std::size_t aServiceIndex) const
  {
    while (!aCursor.isAtEnd() &&
           serviceIndexOf(aCursor.flow(), aRoute) != aServiceIndex) {
      aCursor.advance();
    }
  }

  /** Only for services with priorities; no wait is known for others. */
  WaitEstimate currentWait(const Service& aService, Core::TimePoint aNow) const
  {
    if (!aService.hasPriorities()) {
      return {};
    }
    const auto targetCount = std::count_if(
      aService.targets.begin(),
      aService.targets.end(),
      [aNow](const auto& aTarget) { return aTarget.acceptsNewFlows(aNow); });
    return estimateWait(
      mCandidates, static_cast<std::size_t>(targetCount), aNow);
  }

  static QueuedFlowLimits limitsOf(const Service& aService,
                                   const Route& aRoute,
                                   const WaitEstimate& aWait,
                                   Core::TimePoint aNow)
  {
    QueuedFlowLimits limits;
    limits.priority = aRoute.priority;
    limits.latencyObjective = aRoute.latencyObjective;
    limits.timeout = aRoute.timeout;
    limits.serviceTime = ServiceOrder::expectedServiceTime(
      aWait.serviceTime, aRoute.latencyObjective);
    // Late flows of the least urgent class are served after all other requests,
    // those of other classes after the ones that are on time.
    const auto wait = aRoute.priority >= aService.leastUrgent
                        ? aWait.behindAll
                        : aWait.behindOnTime;
    if (wait) {
      limits.earliest = aNow + *wait + limits.serviceTime - aRoute.timeout;
    }
    return limits;
  }

  /** Whether a flow cannot be answered before its caller gives up. */
  static bool isUnanswerable(const PendingFlow& aPending,
                             const QueuedFlowLimits& aLimits,
                             Core::TimePoint aNow)
  {
    const bool isLate = aNow + aLimits.onTimeReserve() >=
                        aPending.firstSentAt + aLimits.latencyObjective;
    return isLate && aPending.firstSentAt < aLimits.earliest;
  }

  /** Refuses the flows that cannot be answered and that no target has. */
  void refuseUnanswerable(const Service& aService,
                          const Route& aRoute,
                          const QueuedFlowSet& aFlows,
                          const WaitEstimate& aWait,
                          Core::TimePoint aNow)
  {
    const auto limits = limitsOf(aService, aRoute, aWait, aNow);
    std::vector<Packet::FlowKey> refused;
    for (const auto& queued : aFlows) {
      const auto& pending = *mPendingFlows.find(queued.flow);
      if (!isUnanswerable(pending, limits, aNow)) {
        break;
      }
      const auto& service =
        mContext.map->services()[serviceIndexOf(queued.flow, aRoute)];
      if (&service == &aService && pending.isCertainlyNotRun(aNow)) {
        refused.push_back(queued.flow);
      }
    }
    for (const auto& flow : refused) {
      refuseUnanswerable(*mPendingFlows.find(flow), aService);
    }
  }

  void refuseUnanswerable(const PendingFlow& aPending, const Service& aService)
  {
    mContext.counters.increment(SteeringCounter::FlowsRefusedUnanswerable);
    const auto packet = Format::parse(aPending.packet);
    refuse(*packet,
           aPending.flow,
           aService,
           "its caller gives up before it can be answered");
  }

  /** Excludes an agent that did not reply, so that another one is tried. */
  void abandonUnresponsiveAgent(PendingFlow& aPending, Core::TimePoint aNow)
  {
    if (mContext.loads.isSuspected(aPending.agent, aNow)) {
      mContext.counters.increment(SteeringCounter::TargetsSuspected);
      mContext.events.write(Telemetry::Event::TargetSuspected, [&] {
        return mContext.flowFields(aPending.flow)
          .add("agent", Core::formatEndpoint(aPending.agent));
      });
    }
    mContext.flowCache.findOrInsert(aPending.flow, aNow)
      .excludedAgents.add(aPending.agent);
    aPending.unansweredAgents.add(aPending.agent);
    aPending.mayBeAtTarget = true;
    aPending.wasFull = false;
    mPendingFlows.markQueued(aPending);
  }

  /** Null if no target in an evacuated zone may own the flow. */
  const Core::Endpoint* unansweredEvacuatedAgent(
    const PendingFlow& aPending) const
  {
    return aPending.unansweredAgents.findIf(
      [this](const Core::Endpoint& aAgent) {
        return mContext.isZoneEvacuated(aAgent);
      });
  }

  /**
   * Whether the target of an agent that did not reply may own the flow. It may
   * have got the SYN before it started to drain, or before the route stopped
   * naming its service.
   */
  bool mayBeAtUnansweredTarget(const PendingFlow& aPending,
                               const CachedFlow& aCachedFlow,
                               Core::TimePoint aNow) const
  {
    const auto* agent =
      aPending.unansweredAgents.findIf([&](const Core::Endpoint& aAgent) {
        const auto* target = mContext.map->findTarget(aAgent);
        return target != nullptr &&
               (target->isZoneEvacuated ||
                !aCachedFlow.rejectedBy.contains(aAgent)) &&
               !(target->isGone(aNow) &&
                 mContext.loads.isSuspected(aAgent, aNow));
      });
    return agent != nullptr;
  }

  /**
   * Sends the copy of a SYN that no other target can take to a target of an
   * evacuated zone that may own the flow. Its agent knows whether it does, and
   * otherwise rejects the copy.
   */
  void sendCopyToEvacuatedTarget(const PacketType& aPacket,
                                 const Packet::FlowKey& aFlow,
                                 Core::TimePoint aNow)
  {
    const auto* pending = mPendingFlows.find(aFlow);
    const auto* route = mContext.findRoute(aFlow);
    if (pending == nullptr || route == nullptr || !pending->isQueued()) {
      return;
    }
    const auto& service =
      mContext.map->services()[serviceIndexOf(aFlow, *route)];
    if (!isEvacuated(service, aNow)) {
      return;
    }
    if (const auto* agent = unansweredEvacuatedAgent(*pending)) {
      CachedFlow copy;
      copy.agent = *agent;
      mContext.forward(aPacket, *route, copy);
    }
  }

  /**
   * Sends the SYN to the best target, leaves it in the queue, or refuses the
   * flow.
   */
  Placement placeFlow(PendingFlow& aPending, Core::TimePoint aNow)
  {
    if (mContext.map == nullptr) {
      return Placement::NoCapacity;
    }
    const auto flow = aPending.flow;
    const auto* route = mContext.findRoute(flow);
    if (route == nullptr) {
      if (mContext.isMapCurrent()) {
        mContext.resetUnknownFlow(*Format::parse(aPending.packet), "no route");
      }
      mPendingFlows.erase(flow);
      return Placement::Removed;
    }
    const auto hash = flowHash(flow);
    const auto& service = mContext.map->services()[selectService(*route, hash)];
    if (service.hasPriorities() && aPending.wasFull &&
        !mSecondAttempts.isAvailable(route->priority >= service.leastUrgent)) {
      return Placement::Deferred;
    }
    auto& cachedFlow = mContext.flowCache.findOrInsert(flow, aNow);
    collectCandidates(service, cachedFlow, aNow);
    auto& forecast = mForecasts[service.tag];
    forecast.update(mCandidates, aNow);
    if (mCandidates.empty() && mLimitedCandidates.empty()) {
      const bool isRejected =
        isRejectedByAll(service, cachedFlow, aPending, aNow);
      const bool isServiceEvacuated = isEvacuated(service, aNow);
      const bool isUnplaceable = isRejected || isServiceEvacuated;
      if (isUnplaceable &&
          !mayBeAtUnansweredTarget(aPending, cachedFlow, aNow)) {
        refuse(*Format::parse(aPending.packet),
               flow,
               service,
               isRejected ? "every target rejected it"
                          : "every target is in an evacuated zone");
        return Placement::Removed;
      }
      if (isServiceEvacuated) {
        // The flow waits for the reply of an evacuated target, not for
        // capacity.
        return Placement::Deferred;
      }
      // Agents that did not reply may be tried again once they do.
      cachedFlow.excludedAgents = cachedFlow.rejectedBy;
    }
    const auto limits =
      limitsOf(service, *route, currentWait(service, aNow), aNow);
    if (isUnanswerable(aPending, limits, aNow)) {
      if (!aPending.isCertainlyNotRun(aNow)) {
        return Placement::Deferred;
      }
      refuseUnanswerable(aPending, service);
      return Placement::Removed;
    }
    if (cachedFlow.fullRejections < kMaxFullRejections) {
      sendToTarget(
        aPending, service, *route, limits, cachedFlow, forecast, aNow);
    }
    cachedFlow.fullRejections =
      aPending.isQueued() ? 0 : cachedFlow.fullRejections;
    return aPending.isQueued() ? Placement::NoCapacity : Placement::Sent;
  }

  void sendToTarget(PendingFlow& aPending,
                    const Service& aService,
                    const Route& aRoute,
                    const QueuedFlowLimits& aLimits,
                    CachedFlow& aCachedFlow,
                    const LoadForecast& aForecast,
                    Core::TimePoint aNow)
  {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - aPending.firstSentAt);
    const auto* chosen =
      select(aService,
             aRoute,
             flowHash(aPending.flow),
             age + aLimits.onTimeReserve() < aRoute.latencyObjective,
             aForecast);
    if (chosen == nullptr) {
      return;
    }
    recordAttempt(aPending);
    aCachedFlow.agent = chosen->target->agent;
    mPendingFlows.markSent(aPending, aCachedFlow.agent, aNow);
    auto& counters = mContext.counters;
    counters.increment(SteeringCounter::FlowsChosen);
    counters.increment(SteeringCounter::FlowsAcrossZones,
                       chosen->isLocalZone ? 0 : 1);
    logPlacement(aPending.flow, *chosen, age, aNow);
    mContext.loads.expectReply(aCachedFlow.agent, aNow);
    mContext.loads.recordNewFlow(aCachedFlow.agent,
                                 aRoute.flowType == FlowType::ManyRequests);
    mContext.forward(*Format::parse(aPending.packet),
                     aRoute,
                     aCachedFlow,
                     age,
                     mIsEjectionIgnored);
  }

  void recordAttempt(const PendingFlow& aPending)
  {
    if (!aPending.wasSent) {
      mSecondAttempts.recordFirstAttempt();
      return;
    }
    mContext.counters.increment(SteeringCounter::FlowsChosenAgain);
    if (aPending.wasFull) {
      mSecondAttempts.recordSecondAttempt();
    }
  }

  void logPlacement(const Packet::FlowKey& aFlow,
                    const Candidate& aChosen,
                    std::chrono::milliseconds aAge,
                    Core::TimePoint aNow)
  {
    mContext.events.write(Telemetry::Event::FlowPlaced, [&] {
      const auto& load = *aChosen.load;
      auto fields = mContext.flowFields(aFlow);
      fields.add("agent", Core::formatEndpoint(aChosen.target->agent))
        .add("target", aChosen.target->name)
        .add("candidates", mCandidates.size())
        .add("inProgress", load.inProgress())
        .add("longFlows", load.longLivedFlows())
        .add("zone", aChosen.target->zone)
        .add("waitedMs", aAge)
        .add("revision", formatMapRevision(mContext.map->revision()));
      if (aChosen.slowStartBudget) {
        fields.add("slowStartBudget", *aChosen.slowStartBudget);
      }
      if (load.reportedAt != Core::TimePoint{}) {
        fields.add("loadAgeMs",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     aNow - load.reportedAt));
      }
      return fields;
    });
  }

  /**
   * Cold targets with a limit get what the other targets cannot take at once.
   * If the cold ones have no free slot either, the others are preferred.
   */
  const Candidate* select(const Service& aService,
                          const Route& aRoute,
                          std::uint64_t aHash,
                          bool aIsOnTime,
                          const LoadForecast& aForecast)
  {
    const auto selectFrom = [&](const std::vector<Candidate>& aCandidates) {
      return aIsOnTime
               ? selectOnTimeTarget(aCandidates,
                                    aRoute,
                                    aHash,
                                    aForecast,
                                    maxReportedQueueTime(aService, aRoute))
               : selectForLateFlow(aCandidates, aForecast);
    };
    if (mLimitedCandidates.empty() || hasFreeTarget(mCandidates)) {
      return selectFrom(mCandidates);
    }
    const auto* cold = selectByBudget(mLimitedCandidates, aHash);
    if (cold != nullptr) {
      return cold;
    }
    const auto* chosen = selectFrom(mCandidates);
    return chosen != nullptr ? chosen : selectFrom(mLimitedCandidates);
  }

  /**
   * Maximum queue time that a target may report to get a flow on time. Less
   * urgent requests may be up to half of a longer queue, and the flow is served
   * before them. While late requests are queued, agents admit more of those on
   * time. The agent knows, and rejects the flow if it would wait.
   */
  std::chrono::milliseconds maxReportedQueueTime(const Service& aService,
                                                 const Route& aRoute) const
  {
    const auto limit = maxQueueTime(aRoute.latencyObjective);
    const bool hasLateRequests = std::any_of(
      mCandidates.begin(), mCandidates.end(), [](const Candidate& aCandidate) {
        return aCandidate.load->reported.lateRequests > 0;
      });
    if (aRoute.priority < aService.leastUrgent) {
      return 2 * limit;
    }
    return hasLateRequests ? aRoute.latencyObjective / 2 : limit;
  }

  /**
   * Whether the report in a reject keeps the target from being selected again.
   * If the map of this balancer shows no limit, the report has no effect.
   */
  bool isWithoutBudget(const Core::Endpoint& aAgent,
                       RejectReason aReason,
                       Core::TimePoint aNow) const
  {
    const auto* target =
      mContext.map == nullptr ? nullptr : mContext.map->findTarget(aAgent);
    return aReason == RejectReason::SlowStartLimit && target != nullptr &&
           target->hasSlowStartLimit(aNow);
  }

  void collectCandidates(const Service& aService,
                         const CachedFlow& aCachedFlow,
                         Core::TimePoint aNow)
  {
    mCandidates.clear();
    mLimitedCandidates.clear();
    mIsEjectionIgnored =
      isEjectionLimitExceeded(aService, mContext.loads, aNow);
    for (const auto& target : aService.targets) {
      const bool isExcluded =
        !target.acceptsNewFlows(aNow) ||
        aCachedFlow.excludedAgents.contains(target.agent) ||
        !mContext.loads.isUsable(target.agent, aNow) ||
        (!mIsEjectionIgnored &&
         mContext.loads.find(target.agent).isEjected(aNow));
      if (!isExcluded) {
        addCandidate(target, aNow);
      }
    }
  }

  void addCandidate(const Target& aTarget, Core::TimePoint aNow)
  {
    const auto& load = mContext.loads.find(aTarget.agent);
    const std::uint16_t limit =
      aTarget.hasSlowStartLimit(aNow) ? aTarget.slowStartLimit : 0;
    const Candidate candidate{ &aTarget,
                               &load,
                               aTarget.zone == mContext.config.zone,
                               aTarget.slowStartUntil <= aNow,
                               load.slowStartBudget(limit, aNow) };
    if (!candidate.slowStartBudget) {
      mCandidates.push_back(candidate);
    } else if (*candidate.slowStartBudget > 0) {
      mLimitedCandidates.push_back(candidate);
    }
  }

  /**
   * Whether every target that accepts new flows rejected this one, or would
   * because it is down. A target that did not reply does not count as
   * rejecting: its SYN-ACK may have reached the caller.
   */
  bool isRejectedByAll(const Service& aService,
                       const CachedFlow& aCachedFlow,
                       const PendingFlow& aPending,
                       Core::TimePoint aNow) const
  {
    const bool isAtNoTarget = aPending.isCertainlyNotRun(aNow);
    bool isAnyAccepting = false;
    for (const auto& target : aService.targets) {
      if (!target.acceptsNewFlows(aNow)) {
        continue;
      }
      isAnyAccepting = true;
      const bool isRejecting =
        aCachedFlow.rejectedBy.contains(target.agent) ||
        (isAtNoTarget && mContext.loads.find(target.agent).isDown(aNow));
      if (!isRejecting) {
        return false;
      }
    }
    return isAnyAccepting;
  }

  /**
   * Whether the operator has evacuated the service: no target accepts new flows
   * and the zone of one is evacuated.
   */
  static bool isEvacuated(const Service& aService, Core::TimePoint aNow)
  {
    bool isAnyEvacuated = false;
    for (const auto& target : aService.targets) {
      if (target.acceptsNewFlows(aNow)) {
        return false;
      }
      isAnyEvacuated |= target.isZoneEvacuated;
    }
    return isAnyEvacuated;
  }

  void refuse(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Service& aService,
              const char* aReason)
  {
    mContext.counters.increment(SteeringCounter::FlowsRefused);
    mContext.events.write(Telemetry::Event::FlowRefused, [&] {
      return mContext.flowFields(aFlow)
        .add("name", aService.name)
        .add("why", aReason)
        .add("targets", aService.targets.size())
        .add("revision", formatMapRevision(mContext.map->revision()));
    });
    mContext.sendReset(aPacket);
    mContext.flowCache.erase(aFlow);
    mPendingFlows.erase(aFlow);
  }

  /** Removes flows whose callers have given up their connection attempt. */
  void dropExpired(Core::TimePoint aNow)
  {
    for (const auto& expired : mPendingFlows.takeExpired(aNow)) {
      mContext.counters.increment(SteeringCounter::OpeningsExpired);
      mContext.events.write(Telemetry::Event::OpeningExpired, [&] {
        return mContext.flowFields(expired.flow)
          .add("why",
               expired.isQueued() ? "no target had capacity"
                                  : "the target did not reply")
          .add("agent",
               expired.isQueued() ? "none"
                                  : Core::formatEndpoint(expired.agent));
      });
    }
  }

  SteererContext<Format, Output>& mContext;
  PendingFlows mPendingFlows;
  /** By the tag of the service. */
  absl::flat_hash_map<std::uint32_t, ServiceOrder> mOrders;
  SecondAttemptBudget mSecondAttempts;
  std::vector<Candidate> mCandidates;
  /** Cold targets with a limit that have budget left. */
  std::vector<Candidate> mLimitedCandidates;
  /** The candidates include ejected backend servers. */
  bool mIsEjectionIgnored = false;
  /** By service tag. */
  absl::flat_hash_map<std::uint32_t, LoadForecast> mForecasts;
  Core::TimePoint mLastRetryAt{};
};

} // namespace Steering
