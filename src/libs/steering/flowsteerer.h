#pragma once

#include "steering/flowplacement.h"
#include "steering/ownersearch.h"
#include "steering/pendingnotices.h"
#include "steering/steerercontext.h"
#include "steering/steererreport.h"

#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

namespace Steering {

/**
 * The decision logic of a balancer whose backend servers return packets of
 * flows that they do not own. It selects targets for new flows and finds the
 * owners of unknown flows. Its cache only saves searches: losing it breaks no
 * flow. Not thread-safe.
 */
template<PacketFormat Format, BalancerOutput Output>
class FlowSteerer
{
public:
  /**
   * A balancer that received nothing from any agent for this time is isolated.
   */
  static constexpr std::chrono::milliseconds kIsolationTimeout{ 600 };
  /**
   * While evidence is missing whether replies are overdue, one agent after the
   * other is probed at this interval, which is the round trip between zones.
   */
  static constexpr std::chrono::milliseconds kEvidenceProbeInterval{ 10 };

  FlowSteerer(Output& aOutput,
              BalancerConfig aConfig,
              Telemetry::EventLog& aEvents)
    : mContext(aOutput, std::move(aConfig), aEvents)
    , mPlacement(mContext)
    , mOwnerSearch(mContext)
    , mReport(mContext.counters)
  {
  }
  FlowSteerer(const FlowSteerer&) = delete;
  FlowSteerer& operator=(const FlowSteerer&) = delete;

  void setMap(const FleetMapPointer& aMap, Core::TimePoint aNow)
  {
    mContext.now = aNow;
    const auto previousMap = std::exchange(mContext.map, aMap);
    const bool hasNewTargets =
      previousMap != nullptr && hasNewTarget(*previousMap, *aMap);
    if (hasNewTargets) {
      mContext.targetsSettledAt =
        aNow + OwnerSearch<Format, Output>::kSecondSearchDelay;
      mOwnerSearch.handleNewTargets();
    }
    mContext.loads.retainIf([this](const Core::Endpoint& aAgent) {
      return mContext.map->findTarget(aAgent) != nullptr;
    });
    const FleetMap noMap;
    const auto& before = previousMap == nullptr ? noMap : *previousMap;
    logEvacuations(before);
    probeChangedZones(before, aNow);
    probeChangedRoutes(before, aNow);
    mPlacement.retryQueued(aNow);
  }

  /**
   * Sets whether the platform is reachable. Only then does this balancer learn
   * of changes.
   */
  void setPlatformReachable(bool aIsPlatformReachable)
  {
    mContext.isPlatformReachable = aIsPlatformReachable;
  }

  const FleetMapPointer& map() const { return mContext.map; }
  const SteeringCounters& counters() const { return mContext.counters; }
  std::size_t cachedFlowCount() const { return mContext.flowCache.size(); }

  /** Handles one packet of a caller that arrived from the fabric. */
  void handleCallerPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    mContext.now = aNow;
    mContext.counters.increment(SteeringCounter::PacketsReceived);
    const auto packet = Format::parse(aData);
    if (!packet.ok() || packet->isReturned()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    steer(*packet, aNow);
  }

  /** Handles one datagram from an agent. */
  void handleAgentMessage(const Core::Endpoint& aFrom,
                          absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    mContext.now = aNow;
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    if (mContext.map == nullptr || mContext.map->findTarget(aFrom) == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    if (mContext.replies.recordReply(message->sendTime, aNow)) {
      mReport.recordReplyTime(mContext.replies.lastReplyTime());
    }
    mChangeNotices.confirm(aFrom, message->sendTime);
    mContext.loads.recordReport(aFrom, message->load, aNow);
    mContext.newestReportedRevision =
      std::max(mContext.newestReportedRevision, message->mapRevision);
    const auto body = aData.subspan(message->size());
    switch (message->kind) {
      case MessageKind::Reject:
        handleReject(aFrom, message->reason, body, aNow);
        break;
      case MessageKind::OwnerNotice:
        handleOwnerNotice(aFrom, body, aNow);
        break;
      case MessageKind::OwnerHintReply:
        handleOwnerHintReply(body, aNow);
        break;
      case MessageKind::UnknownFlowReply:
        handleUnknownFlowReply(aFrom, *message, body);
        break;
      case MessageKind::LoadReport:
        mContext.counters.increment(SteeringCounter::LoadReports);
        if (mPlacement.hasQueued()) {
          mPlacement.retryQueued(aNow);
        }
        break;
      case MessageKind::Forward:
      case MessageKind::Probe:
      case MessageKind::OwnerQuery:
      case MessageKind::StoreOwnerHint:
        mContext.counters.increment(SteeringCounter::PacketsMalformed);
        break;
    }
  }

  /**
   * Probes suspected agents, retries queued and unanswered flows, and removes
   * idle flows.
   */
  void tick(Core::TimePoint aNow)
  {
    mContext.now = aNow;
    mPlacement.tick(aNow);
    mOwnerSearch.tick(aNow);
    for (const auto& agent : mContext.loads.takeDueProbes(aNow)) {
      mContext.sendProbe(agent);
    }
    probeForEvidence(aNow);
    repeatNotices(aNow);
    mContext.flowCache.expire(aNow);
    mReport.tick({ mOwnerSearch.searchCount(),
                   mPlacement.pendingCount(),
                   mContext.loads.suspectedCount() },
                 mContext.events,
                 aNow);
  }

  /** Time until tick() is due; std::nullopt if no work is pending. */
  std::optional<std::chrono::milliseconds> timeUntilTick() const
  {
    if (const auto searchTime = mOwnerSearch.timeUntilTick()) {
      return searchTime;
    }
    if (const auto placementTime = mPlacement.timeUntilTick()) {
      return placementTime;
    }
    if (mContext.replies.isEvidenceMissing()) {
      return evidenceProbeInterval(mContext.now);
    }
    if (mContext.loads.overdueCount() > 0 || !mChangeNotices.isEmpty()) {
      return AgentLoadTable::kProbeInterval;
    }
    return std::nullopt;
  }

  /** Whether no agent replies to this balancer. */
  bool isIsolated(Core::TimePoint aNow) const
  {
    return mContext.map != nullptr && isUnanswered(aNow) &&
           mContext.loads.recentlySeenCount(kIsolationTimeout, aNow) == 0;
  }

private:
  using PacketType = typename Format::Packet;

  /** Whether no message was answered for kIsolationTimeout. */
  bool isUnanswered(Core::TimePoint aNow) const
  {
    return mContext.replies.isEvidenceMissing() &&
           aNow - mContext.replies.evidenceMissingSince() >= kIsolationTimeout;
  }

  std::chrono::milliseconds evidenceProbeInterval(Core::TimePoint aNow) const
  {
    return isUnanswered(aNow) ? AgentLoadTable::kProbeInterval
                              : kEvidenceProbeInterval;
  }

  /** Probes the next agent if isOverdue() of the replies cannot decide. */
  void probeForEvidence(Core::TimePoint aNow)
  {
    if (mContext.map == nullptr || !mContext.replies.isEvidenceMissing() ||
        aNow - mLastEvidenceProbeAt < evidenceProbeInterval(aNow)) {
      return;
    }
    const auto* agent = nextAgent(aNow);
    if (agent != nullptr) {
      mLastEvidenceProbeAt = aNow;
      mContext.loads.expectReply(*agent, aNow);
      mContext.sendProbe(*agent);
    }
  }

  /** The next agent in turn, a suspected one only if there is no other. */
  const Core::Endpoint* nextAgent(Core::TimePoint aNow)
  {
    std::size_t count = 0;
    for (const auto& service : mContext.map->services()) {
      count += service.targets.size();
    }
    for (std::size_t i = 0; i < count; ++i) {
      const auto* agent = agentAt(++mProbedAgentCount % count);
      if (!mContext.loads.isSuspected(*agent, aNow)) {
        return agent;
      }
    }
    return count == 0 ? nullptr : agentAt(++mProbedAgentCount % count);
  }

  /** The agent at a position in the list of all targets of all services. */
  const Core::Endpoint* agentAt(std::size_t aIndex) const
  {
    for (const auto& service : mContext.map->services()) {
      if (aIndex < service.targets.size()) {
        return &service.targets[aIndex].agent;
      }
      aIndex -= service.targets.size();
    }
    return nullptr;
  }

  /**
   * Notifies the agents of zones that were evacuated or returned, since other
   * balancers may have an older map.
   */
  void probeChangedZones(const FleetMap& aBefore, Core::TimePoint aNow)
  {
    for (const auto& service : mContext.map->services()) {
      for (const auto& target : service.targets) {
        const auto* before = aBefore.findTarget(target.agent);
        const bool wasEvacuated = before != nullptr && before->isZoneEvacuated;
        if (target.isZoneEvacuated != wasEvacuated && !target.isGone(aNow)) {
          sendNotice(target.agent, aNow);
        }
      }
    }
  }

  /**
   * Notifies the agents of the services that a route named before its services
   * changed. A balancer with an older map searches the flows of the new
   * services there, and must not conclude that they have no owner.
   */
  void probeChangedRoutes(const FleetMap& aBefore, Core::TimePoint aNow)
  {
    if (mContext.map->version() == aBefore.version()) {
      return;
    }
    std::set<std::size_t> services;
    for (const auto& [address, route] : mContext.map->routes()) {
      const auto before = aBefore.routes().find(address);
      if (before != aBefore.routes().end() &&
          namesNewService(route, aBefore, before->second)) {
        for (const auto& share : before->second.shares) {
          services.insert(share.service);
        }
      }
    }
    for (const auto service : services) {
      for (const auto& target : aBefore.services()[service].targets) {
        if (mContext.map->findTarget(target.agent) != nullptr &&
            !target.isGone(aNow)) {
          sendNotice(target.agent, aNow);
        }
      }
    }
  }

  /** Whether a route names a service that it did not name before. */
  bool namesNewService(const Route& aRoute,
                       const FleetMap& aMapBefore,
                       const Route& aBefore) const
  {
    return std::any_of(
      aRoute.shares.begin(), aRoute.shares.end(), [&](const auto& aShare) {
        const auto tag = mContext.map->services()[aShare.service].tag;
        return std::none_of(
          aBefore.shares.begin(),
          aBefore.shares.end(),
          [&](const RouteShare& aOther) {
            return aMapBefore.services()[aOther.service].tag == tag;
          });
      });
  }

  /** Tells an agent, by a probe, which map revision this balancer has. */
  void sendNotice(const Core::Endpoint& aAgent, Core::TimePoint aNow)
  {
    mContext.sendProbe(aAgent);
    mChangeNotices.add(aAgent, aNow);
  }

  /** The probes of sendNotice() may be lost. */
  void repeatNotices(Core::TimePoint aNow)
  {
    for (const auto& agent : mChangeNotices.takeDue(aNow)) {
      if (mContext.map->findTarget(agent) != nullptr) {
        mContext.sendProbe(agent);
      }
    }
  }

  void logEvacuations(const FleetMap& aBefore)
  {
    const auto write = [this](Telemetry::Event aEvent,
                              const EvacuatedZone& aEntry) {
      mContext.events.write(aEvent, [&] {
        return Telemetry::EventFields()
          .add("zone", aEntry.zone)
          .add("since", formatMapRevision(aEntry.since))
          .add("revision", formatMapRevision(mContext.map->revision()));
      });
    };
    for (const auto& entry : mContext.map->evacuatedZones()) {
      if (aBefore.findEvacuatedZone(entry.zone) == nullptr) {
        write(Telemetry::Event::ZoneEvacuated, entry);
      }
    }
    for (const auto& entry : aBefore.evacuatedZones()) {
      if (mContext.map->findEvacuatedZone(entry.zone) == nullptr) {
        write(Telemetry::Event::ZoneReturned, entry);
      }
    }
  }

  static bool hasNewTarget(const FleetMap& aBefore, const FleetMap& aAfter)
  {
    for (const auto& service : aAfter.services()) {
      for (const auto& target : service.targets) {
        if (aBefore.findTarget(target.agent) == nullptr) {
          return true;
        }
      }
    }
    return false;
  }

  void steer(const PacketType& aPacket, Core::TimePoint aNow)
  {
    const auto flow = aPacket.flowFromCaller();
    const auto* route = mContext.findRoute(flow);
    if (mContext.map != nullptr && route == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutRoute);
      mContext.flowCache.erase(flow);
      if (mContext.isMapCurrent() && !aPacket.isReset()) {
        mContext.resetUnknownFlow(aPacket, "no route");
      }
      return;
    }
    if (aPacket.isSyn()) {
      steerSyn(aPacket, flow, aNow);
      return;
    }
    if (route == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutRoute);
      return;
    }
    mPlacement.finishPlacement(flow);
    mOwnerSearch.handlePacket(aPacket, flow, *route, aNow);
  }

  /** A SYN from the port of an earlier flow opens a new one. */
  void steerSyn(const PacketType& aPacket,
                const Packet::FlowKey& aFlow,
                Core::TimePoint aNow)
  {
    if (mOwnerSearch.forgetOtherFlow(aPacket, aFlow)) {
      mPlacement.finishPlacement(aFlow);
    }
    mPlacement.handleSyn(aPacket, aFlow, aNow);
    if (auto* cachedFlow = mContext.flowCache.find(aFlow)) {
      cachedFlow->callerSequence.record(aPacket);
    }
  }

  void handleReject(const Core::Endpoint& aFrom,
                    RejectReason aReason,
                    absl::Span<const std::uint8_t> aData,
                    Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mContext.counters.increment(SteeringCounter::PacketsHandedBack);
    const auto flow = packet->flowFromCaller();
    mContext.events.write(Telemetry::Event::PacketHandedBack, [&] {
      return mContext.flowFields(flow)
        .add("agent", Core::formatEndpoint(aFrom))
        .add("why", nameOf(aReason));
    });
    const auto* route = mContext.findRoute(flow);
    if (route == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutRoute);
      return;
    }
    const auto* cachedFlow = mContext.flowCache.find(flow);
    if (cachedFlow != nullptr &&
        cachedFlow->callerSequence.isOtherFlow(*packet)) {
      // A late rejection of an earlier flow from the same port.
      return;
    }
    if (packet->isSyn()) {
      mPlacement.handleRejectedSyn(flow, aFrom, aReason, aNow);
    } else {
      mOwnerSearch.handleRejectedPacket(*packet, flow, *route, aFrom, aNow);
    }
  }

  void handleOwnerNotice(const Core::Endpoint& aFrom,
                         absl::Span<const std::uint8_t> aBody,
                         Core::TimePoint aNow)
  {
    const auto notice = OwnerNotice::parse(aBody);
    if (!notice.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mContext.counters.increment(SteeringCounter::OwnerNotices);
    const auto* route = mContext.findRoute(notice->flow);
    if (route != nullptr &&
        mContext.ownerChance(*route, aFrom) == OwnerChance::None) {
      // A late notice: the agent's address belongs to another service now.
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    mPlacement.finishPlacement(notice->flow);
    const auto serviceTag = mContext.map->serviceOf(aFrom).tag;
    auto& cachedFlow = mContext.flowCache.findOrInsert(notice->flow, aNow);
    const bool isSynAck = notice->sequence != 0;
    if (isSynAck && cachedFlow.isEstablished) {
      // The caller already acknowledged one of the SYN-ACKs.
      return;
    }
    if (isSynAck) {
      cachedFlow.synAcks.push_back({ aFrom, notice->sequence, serviceTag });
    }
    const bool isOwnerFound =
      cachedFlow.isEstablished && !cachedFlow.isConfirmed;
    if (isOwnerFound) {
      mContext.counters.increment(SteeringCounter::FlowsFound);
      mContext.events.write(Telemetry::Event::FlowFound, [&] {
        return mContext.flowFields(notice->flow)
          .add("agent", Core::formatEndpoint(aFrom));
      });
    }
    const auto previousAgent = std::exchange(cachedFlow.agent, aFrom);
    cachedFlow.isConfirmed = true;
    cachedFlow.serviceTag = serviceTag;
    cachedFlow.lostOwnerServiceTag = 0;
    cachedFlow.excludedAgents.clear();
    cachedFlow.rejectedBy.clear();
    cachedFlow.firstExhaustedAt = {};
    mOwnerSearch.finishSearch(notice->flow, previousAgent);
    if (isSynAck || isOwnerFound) {
      mOwnerSearch.sendOwnerHints(notice->flow, aFrom);
    }
  }

  void handleUnknownFlowReply(const Core::Endpoint& aFrom,
                              const AgentMessage& aMessage,
                              absl::Span<const std::uint8_t> aBody)
  {
    const auto reply = OwnerNotice::parse(aBody);
    if (!reply.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    const bool isCertain = aMessage.reason == RejectReason::UnknownFlow &&
                           mContext.knowsAllFlows(aMessage.load);
    mOwnerSearch.handleUnknownFlow(reply->flow, aFrom, isCertain);
  }

  void handleOwnerHintReply(absl::Span<const std::uint8_t> aBody,
                            Core::TimePoint aNow)
  {
    const auto hint = OwnerHint::parse(aBody);
    if (!hint.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mOwnerSearch.handleOwnerHint(*hint, aNow);
  }

  SteererContext<Format, Output> mContext;
  FlowPlacement<Format, Output> mPlacement;
  OwnerSearch<Format, Output> mOwnerSearch;
  SteererReport mReport;
  Core::TimePoint mLastEvidenceProbeAt{};
  PendingNotices mChangeNotices;
  std::size_t mProbedAgentCount = 0;
};

} // namespace Steering
