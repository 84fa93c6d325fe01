#pragma once

#include "steering/loadforecast.h"
#include "steering/pendingflows.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
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
 * is queued here. Flows that are still on time leave the queue first, starting
 * with the newest, since the others are late or soon will be.
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
      cachedFlow->lastPacketAt = aNow;
      const auto* route = mContext.findRoute(aFlow);
      mContext.forward(aPacket, *route, *cachedFlow);
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
      if (pending->isQueued() ||
          !mContext.isReplyOverdue(pending->forwardedAt, aNow)) {
        return;
      }
      abandonUnresponsiveAgent(*pending, aNow);
    }
    placeFlow(*pending, aNow);
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
    } else {
      cachedFlow.excludedAgents.add(aFrom);
    }
    if (aReason == RejectReason::Refused ||
        aReason == RejectReason::WrongService ||
        aReason == RejectReason::Draining) {
      cachedFlow.rejectedBy.add(aFrom);
    }
    auto* pending = mPendingFlows.find(aFlow);
    if (pending == nullptr || pending->agent != aFrom) {
      // The SYN was answered or sent to another agent in the meantime.
      return;
    }
    pending->agent = {};
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
    // If one on-time flow finds no target in a service, no other on-time flow
    // will. Late flows may still be placed, so both are tracked separately.
    absl::flat_hash_set<std::pair<const Service*, bool>> fullServices;
    const auto objectiveOf = [this](const auto& aFlow) {
      const auto* route = mContext.findRoute(aFlow);
      return route == nullptr ? std::chrono::milliseconds(0)
                              : route->latencyObjective;
    };
    for (const auto& [flow, isOnTime] :
         mPendingFlows.queuedFlows(objectiveOf, aNow)) {
      auto* pending = mPendingFlows.find(flow);
      const auto key = std::make_pair(serviceOf(flow), isOnTime);
      if (pending == nullptr || fullServices.contains(key)) {
        continue;
      }
      placeFlow(*pending, aNow);
      pending = mPendingFlows.find(flow);
      if (pending != nullptr && pending->isQueued()) {
        fullServices.insert(key);
      }
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
  const Service* serviceOf(const Packet::FlowKey& aFlow) const
  {
    const auto* route = mContext.findRoute(aFlow);
    if (route == nullptr) {
      return nullptr;
    }
    return &mContext.map->services()[selectService(*route, flowHash(aFlow))];
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
    aPending.agent = {};
  }

  /**
   * Sends the SYN to the best target, leaves it in the queue, or refuses the
   * flow.
   */
  void placeFlow(PendingFlow& aPending, Core::TimePoint aNow)
  {
    if (mContext.map == nullptr) {
      return;
    }
    const auto packet = Format::parse(aPending.packet);
    const auto flow = aPending.flow;
    const auto* route = mContext.findRoute(flow);
    if (route == nullptr) {
      if (mContext.isMapCurrent()) {
        mContext.resetUnknownFlow(*packet, "no route");
      }
      mPendingFlows.erase(flow);
      return;
    }
    auto& cachedFlow = mContext.flowCache.findOrInsert(flow, aNow);
    const auto hash = flowHash(flow);
    const auto& service = mContext.map->services()[selectService(*route, hash)];
    collectCandidates(service, cachedFlow, aNow);
    auto& forecast = mForecasts[service.tag];
    forecast.update(mCandidates, aNow);
    if (mCandidates.empty()) {
      if (isRejectedByAll(service, cachedFlow, aNow)) {
        refuse(*packet, flow, service);
        return;
      }
      // Agents that did not reply may be tried again once they do.
      cachedFlow.excludedAgents = cachedFlow.rejectedBy;
    }
    if (cachedFlow.fullRejections < kMaxFullRejections) {
      sendToTarget(aPending, *packet, *route, cachedFlow, hash, forecast, aNow);
    }
    cachedFlow.fullRejections =
      aPending.isQueued() ? 0 : cachedFlow.fullRejections;
  }

  void sendToTarget(PendingFlow& aPending,
                    const PacketType& aPacket,
                    const Route& aRoute,
                    CachedFlow& aCachedFlow,
                    std::uint64_t aHash,
                    const LoadForecast& aForecast,
                    Core::TimePoint aNow)
  {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - aPending.firstSentAt);
    const auto* chosen =
      age < aRoute.latencyObjective
        ? selectOnTimeTarget(mCandidates, aRoute, aHash, aForecast)
        : selectForLateFlow(mCandidates, aForecast);
    if (chosen == nullptr) {
      return;
    }
    aCachedFlow.agent = chosen->target->agent;
    aPending.agent = aCachedFlow.agent;
    aPending.forwardedAt = aNow;
    auto& counters = mContext.counters;
    counters.increment(SteeringCounter::FlowsChosen);
    counters.increment(SteeringCounter::FlowsAcrossZones,
                       chosen->isLocalZone ? 0 : 1);
    logPlacement(aPending.flow, *chosen, age, aNow);
    mContext.loads.expectReply(aCachedFlow.agent, aNow);
    mContext.loads.recordNewFlow(aCachedFlow.agent,
                                 aRoute.flowType == FlowType::ManyRequests);
    mContext.forward(aPacket, aRoute, aCachedFlow, age);
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
      if (load.reportedAt != Core::TimePoint{}) {
        fields.add("loadAgeMs",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     aNow - load.reportedAt));
      }
      return fields;
    });
  }

  void collectCandidates(const Service& aService,
                         const CachedFlow& aCachedFlow,
                         Core::TimePoint aNow)
  {
    mCandidates.clear();
    for (const auto& target : aService.targets) {
      const bool isExcluded =
        !target.acceptsNewFlows(aNow) ||
        aCachedFlow.excludedAgents.contains(target.agent) ||
        !mContext.loads.isUsable(target.agent, aNow);
      if (!isExcluded) {
        mCandidates.push_back({ &target,
                                &mContext.loads.find(target.agent),
                                target.zone == mContext.config.zone,
                                target.slowStartUntil <= aNow });
      }
    }
  }

  /**
   * Whether every target that accepts new flows rejected this one. A target
   * that did not reply does not count as rejecting: its SYN-ACK may have
   * reached the caller.
   */
  static bool isRejectedByAll(const Service& aService,
                              const CachedFlow& aCachedFlow,
                              Core::TimePoint aNow)
  {
    bool isAnyAccepting = false;
    for (const auto& target : aService.targets) {
      if (!target.acceptsNewFlows(aNow)) {
        continue;
      }
      isAnyAccepting = true;
      if (!aCachedFlow.rejectedBy.contains(target.agent)) {
        return false;
      }
    }
    return isAnyAccepting;
  }

  void refuse(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Service& aService)
  {
    mContext.counters.increment(SteeringCounter::FlowsRefused);
    mContext.events.write(Telemetry::Event::FlowRefused, [&] {
      return mContext.flowFields(aFlow)
        .add("name", aService.name)
        .add("why", "every target rejected it")
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
  std::vector<Candidate> mCandidates;
  /** By service tag. */
  absl::flat_hash_map<std::uint32_t, LoadForecast> mForecasts;
  Core::TimePoint mLastRetryAt{};
};

} // namespace Steering
