#pragma once

#include "steering/agentloadtable.h"
#include "steering/agentmessage.h"
#include "steering/fleetmap.h"
#include "steering/flowcache.h"
#include "steering/flowhash.h"
#include "steering/linkbudget.h"
#include "steering/packetformat.h"
#include "steering/replyprogress.h"
#include "steering/retransmissionschedule.h"
#include "steering/steeringcounters.h"
#include "steering/targetflowtable.h"

#include "telemetry/eventlog.h"

#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/** The interface through which a balancer sends datagrams. */
template<typename T>
concept BalancerOutput = requires(T& aOutput,
                                  const Core::Endpoint& aTo,
                                  absl::Span<const std::uint8_t> aData)
{
  /** Sends one message to an agent. */
  aOutput.sendToAgent(aTo, aData);
  /** Sends one packet to a caller. */
  aOutput.sendToCaller(aTo, aData);
};

/** The settings of a balancer. */
struct BalancerConfig
{
  std::string zone;
  RetransmissionSchedule retransmissionSchedule;
  /** Rate of the network link in bytes per second. */
  std::uint64_t linkRate = LinkBudget::kDefaultLinkRate;
};

/**
 * State shared by the parts of a balancer's decision logic. Not thread-safe.
 */
template<PacketFormat Format, BalancerOutput Output>
class SteererContext
{
public:
  using PacketType = typename Format::Packet;

  SteererContext(Output& aOutput,
                 BalancerConfig aConfig,
                 Telemetry::EventLog& aEvents)
    : output(aOutput)
    , config(std::move(aConfig))
    , events(aEvents)
    , loads(replies)
    , searchBudget(config.linkRate)
  {
  }

  /** Null if there is no map. */
  MapRevision mapRevision() const
  {
    return map == nullptr ? MapRevision{} : map->revision();
  }

  /**
   * Whether the map is the newest one. If it may not be, flows with an unknown
   * route or owner are not reset, since a newer map may contain it.
   */
  bool isMapCurrent() const
  {
    return isPlatformReachable && map != nullptr && !isMapOutdated();
  }

  /** Whether another balancer is known to have a newer map. */
  bool isMapOutdated() const { return newestReportedRevision > mapRevision(); }

  /**
   * Whether an agent that does not know an open flow is certain that its
   * backend server does not hold it. The flow may have been idle since the
   * agent started.
   */
  bool knowsAllFlows(const ReportedLoad& aReport) const
  {
    const auto idleTimeout = std::min<std::chrono::milliseconds>(
      map->idleTimeout(), TargetFlowTable::kIdleTimeout);
    return aReport.hasFullHistory &&
           (idleTimeout <= ReportedLoad::kFullHistoryTime ||
            aReport.history >= idleTimeout);
  }

  /** Whether the reply of an agent to a message sent at aSentAt is overdue. */
  bool isReplyOverdue(Core::TimePoint aSentAt, Core::TimePoint aNow)
  {
    return replies.isOverdue(aSentAt, AgentLoadTable::kReplyTimeout, aNow);
  }

  /** Null if there is no map, or no route for the address. */
  const Route* findRoute(const Packet::FlowKey& aFlow) const
  {
    return map == nullptr ? nullptr : map->findRoute(aFlow.service);
  }

  /** Whether the zone of the agent's target is evacuated in the map. */
  bool isZoneEvacuated(const Core::Endpoint& aAgent) const
  {
    const auto* target = map == nullptr ? nullptr : map->findTarget(aAgent);
    return target != nullptr && target->isZoneEvacuated;
  }

  /**
   * Whether the agent's target may own a flow of the route. If the map is
   * outdated, the flow may be of a service that the route names since then.
   */
  OwnerChance ownerChance(const Route& aRoute,
                          const Core::Endpoint& aAgent) const
  {
    const auto chance = map->ownerChance(aRoute, aAgent, now);
    const bool isUnlikely = chance == OwnerChance::None && isMapOutdated() &&
                            map->findTarget(aAgent) != nullptr;
    return isUnlikely ? OwnerChance::Unlikely : chance;
  }

  /**
   * Whether packets of the open flow may go to the agent in its cache entry.
   * The services that the route names now decide only about new flows.
   */
  bool mayOwnFlow(const Route& aRoute, const CachedFlow& aCachedFlow) const
  {
    if (map->findTarget(aCachedFlow.agent) == nullptr) {
      return false;
    }
    return aCachedFlow.isConfirmed
             ? map->serviceOf(aCachedFlow.agent).tag == aCachedFlow.serviceTag
             : ownerChance(aRoute, aCachedFlow.agent) == OwnerChance::Possible;
  }

  /**
   * Whether a packet of an open flow without a known owner may be sent to the
   * agent, whose backend server returns it if it does not own the flow. With an
   * outdated map, the agent's address may belong to another service by now.
   */
  bool mayForwardTo(const Route& aRoute, const Core::Endpoint& aAgent) const
  {
    const auto chance = map->ownerChance(aRoute, aAgent, now);
    return chance == OwnerChance::Possible ||
           (chance == OwnerChance::Unlikely && !isMapOutdated());
  }

  /**
   * Forwards a packet to the agent in the flow's cache entry. For a new flow
   * aAge is how long its caller has waited; aIgnoresEjection sends it to an
   * ejected backend server as well.
   */
  void forward(const PacketType& aPacket,
               const Route& aRoute,
               const CachedFlow& aCachedFlow,
               std::chrono::milliseconds aAge = {},
               bool aIgnoresEjection = false)
  {
    const auto& agent = aCachedFlow.agent;
    const bool isAllowed = aPacket.isSyn() ? map->serves(aRoute, agent)
                           : aCachedFlow.isConfirmed
                             ? mayOwnFlow(aRoute, aCachedFlow)
                             : mayForwardTo(aRoute, agent);
    if (!isAllowed) {
      // The agent's address may now belong to another service.
      counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.mapRevision = mapRevision();
    message.sendTime = toSendTime(now);
    message.wantsOwnerNotice = !aCachedFlow.isConfirmed;
    message.isLongLived = aRoute.flowType == FlowType::ManyRequests;
    message.isIdempotent = aRoute.isIdempotent;
    message.ignoresEjection = aIgnoresEjection;
    message.serviceTag = map->serviceOf(aCachedFlow.agent).tag;
    message.slots =
      static_cast<std::uint16_t>(map->findTarget(aCachedFlow.agent)->slots);
    message.isZoneEvacuated = isZoneEvacuated(aCachedFlow.agent);
    message.age = aAge;
    message.latencyObjective = aRoute.latencyObjective;
    message.timeout = aRoute.timeout;
    message.priority = aRoute.priority;
    message.slowStart = slowStartOf(*map->findTarget(aCachedFlow.agent));
    mBuffer.clear();
    message.appendTo(mBuffer);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    sendBuffer(aCachedFlow.agent);
    counters.increment(SteeringCounter::PacketsForwarded);
  }

  void sendProbe(const Core::Endpoint& aAgent)
  {
    beginMessage(aAgent, MessageKind::Probe);
    sendBuffer(aAgent);
  }

  /**
   * Queries whether the agent's backend server owns the flow. With
   * aWantsUnknownFlowReply the agent replies also if it knows no owner.
   */
  void sendOwnerQuery(const Core::Endpoint& aAgent,
                      const Packet::FlowKey& aFlow,
                      bool aWantsUnknownFlowReply)
  {
    beginMessage(aAgent, MessageKind::OwnerQuery, aWantsUnknownFlowReply);
    const auto* cachedFlow = flowCache.find(aFlow);
    const auto sequence =
      cachedFlow == nullptr ? 0 : cachedFlow->callerSequence.newest();
    OwnerNotice{ aFlow, sequence }.appendTo(mBuffer);
    sendBuffer(aAgent);
    // A reply uses as much of the link in the other direction.
    searchBudget.take(mBuffer.size());
    if (aWantsUnknownFlowReply) {
      searchBudget.take(mBuffer.size());
    }
    counters.increment(SteeringCounter::OwnerQueries);
  }

  /** Notifies an agent that another agent owns a flow. */
  void sendOwnerHint(const Core::Endpoint& aAgent, const OwnerHint& aHint)
  {
    beginMessage(aAgent, MessageKind::StoreOwnerHint);
    aHint.appendTo(mBuffer);
    sendBuffer(aAgent);
  }

  /**
   * Resets the caller's flow: the flow does not exist, or no request of it ran.
   */
  void sendReset(const PacketType& aPacket)
  {
    const auto bytes = Format::buildReset(aPacket);
    output.sendToCaller(aPacket.flowFromCaller().caller, bytes);
  }

  /** The common fields of all log events about a flow. */
  static Telemetry::EventFields flowFields(const Packet::FlowKey& aFlow)
  {
    Telemetry::EventFields fields;
    fields.flow(flowHash(aFlow))
      .add("caller", Core::formatEndpoint(aFlow.caller))
      .add("service", Core::formatEndpoint(aFlow.service));
    return fields;
  }

  /** Resets a flow that has no owner or no route. */
  void resetUnknownFlow(const PacketType& aPacket, const char* aReason)
  {
    counters.increment(SteeringCounter::FlowsReset);
    events.write(Telemetry::Event::FlowNotFound, [&] {
      return flowFields(aPacket.flowFromCaller())
        .add("why", aReason)
        .add("revision", formatMapRevision(map->revision()));
    });
    sendReset(aPacket);
  }

  Output& output;
  BalancerConfig config;
  Telemetry::EventLog& events;
  /** Time of the call that is being handled. */
  Core::TimePoint now{};
  FleetMapPointer map;
  /** The platform answers, so the map should be up to date. */
  bool isPlatformReachable = false;
  /** The newest map revision that any agent has reported. */
  MapRevision newestReportedRevision;
  /** Until this time there may be targets that are not in the map yet. */
  Core::TimePoint targetsSettledAt{};
  FlowCache flowCache;
  ReplyProgress replies;
  AgentLoadTable loads;
  /** What owner searches may send. */
  LinkBudget searchBudget;
  SteeringCounters counters;

private:
  /** std::nullopt if the target is not cold or has no limit. */
  std::optional<SlowStart> slowStartOf(const Target& aTarget) const
  {
    if (!aTarget.hasSlowStartLimit(now)) {
      return std::nullopt;
    }
    return SlowStart{ aTarget.slowStartLimit,
                      std::chrono::ceil<std::chrono::milliseconds>(
                        aTarget.slowStartUntil - now) };
  }

  /**
   * Starts a message in the buffer with only the fields that all kinds have.
   */
  void beginMessage(const Core::Endpoint& aAgent,
                    MessageKind aKind,
                    bool aWantsUnknownFlowReply = false)
  {
    AgentMessage message;
    message.kind = aKind;
    message.isZoneEvacuated = isZoneEvacuated(aAgent);
    message.wantsUnknownFlowReply = aWantsUnknownFlowReply;
    message.mapRevision = mapRevision();
    message.sendTime = toSendTime(now);
    mBuffer.clear();
    message.appendTo(mBuffer);
  }

  void sendBuffer(const Core::Endpoint& aAgent)
  {
    output.sendToAgent(aAgent, mBuffer);
    replies.recordMessage(now);
    counters.increment(SteeringCounter::BytesToAgents, mBuffer.size());
  }

  std::vector<std::uint8_t> mBuffer;
};

} // namespace Steering
