#pragma once

#include "steering/agentmessage.h"
#include "steering/fleetmap.h"
#include "steering/flowmemory.h"
#include "steering/loadtable.h"
#include "steering/packetformat.h"
#include "steering/steeringcounters.h"
#include "steering/targetselection.h"

#include "telemetry/eventlog.h"

#include <absl/strings/str_cat.h>
#include <absl/types/span.h>

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/** Where a balancer's datagrams go. */
template<typename T>
concept SteererPort = requires(T& aPort,
                               const Core::Endpoint& aTo,
                               absl::Span<const std::uint8_t> aData)
{
  /** One message to an agent. */
  aPort.sendToAgent(aTo, aData);
  /** One packet to a caller. */
  aPort.sendToCaller(aTo, aData);
};

/** Who a balancer is. */
struct SteererIdentity
{
  std::string zone;
};

/**
 * The decisions of a balancer whose backend servers hand back what they do
 * not hold: it picks targets for new flows, and finds the owner of a flow that
 * it does not know by asking one agent after the other. Nothing depends on its
 * memory. Used by one thread.
 */
template<PacketFormat Format, SteererPort Port>
class FlowSteerer
{
public:
  /** So many targets without a free slot are tried before one must queue. */
  static constexpr std::size_t kMostTurnedAway = 4;
  /**
   * A flow that nobody holds is reset when a second search so much later ends
   * in the same way: by then a balancer in touch knows each target.
   */
  static constexpr std::chrono::milliseconds kSearchAgainAfter{ 1'200 };
  /** Without a word from any agent for so long a balancer is cut off. */
  static constexpr std::chrono::milliseconds kIsolatedAfter{ 600 };

  FlowSteerer(Port& aPort, SteererIdentity aSelf, Telemetry::EventLog& aEvents)
    : mPort(aPort)
    , mSelf(std::move(aSelf))
    , mEvents(aEvents)
  {
  }
  FlowSteerer(const FlowSteerer&) = delete;
  FlowSteerer& operator=(const FlowSteerer&) = delete;

  void adoptMap(FleetMapPointer aMap)
  {
    mMap = std::move(aMap);
    mLoads.forgetUnless([this](const Core::Endpoint& aAgent) {
      return mMap->findTarget(aAgent) != nullptr;
    });
  }

  /**
   * Tells whether the map is known to be the newest; without that no caller
   * is told that a route or a flow does not exist.
   */
  void setMapIsCurrent(bool aIsCurrent) { mIsMapCurrent = aIsCurrent; }

  const FleetMapPointer& map() const { return mMap; }
  const SteeringCounters& counters() const { return mCounters; }
  std::size_t rememberedFlows() const { return mFlows.size(); }

  /** Handles one packet that the fabric handed over. */
  void handleCallerPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    mCounters.increment(SteeringCounter::PacketsReceived);
    const auto packet = Format::parse(aData);
    if (!packet.ok() || packet->isHandedBack()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    steer(*packet, aNow);
  }

  /** Handles one datagram from an agent. */
  void handleAgentMessage(const Core::Endpoint& aFrom,
                          absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    noteReport(aFrom, message->load, aNow);
    const auto body = aData.subspan(AgentMessage::kBytes);
    switch (message->kind) {
      case MessageKind::HandBack:
        handleHandBack(aFrom, message->reason, body, aNow);
        break;
      case MessageKind::OwnerNotice:
        handleNotice(aFrom, body, aNow);
        break;
      case MessageKind::LoadReport:
        mCounters.increment(SteeringCounter::LoadReports);
        break;
      case MessageKind::Forward:
      case MessageKind::Probe:
        mCounters.increment(SteeringCounter::PacketsMalformed);
        break;
    }
  }

  /** Asks suspected agents again and forgets idle flows. */
  void tick(Core::TimePoint aNow)
  {
    for (const auto& agent : mLoads.takeDueProbes(aNow)) {
      sendProbe(agent);
    }
    mFlows.expire(aNow);
  }

  /** When tick() is due; nothing while nobody is suspected. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (mLoads.suspectedCount() == 0) {
      return std::nullopt;
    }
    return LoadTable::kProbeInterval;
  }

  /** True while no agent answers this balancer. */
  bool isIsolated(Core::TimePoint aNow) const
  {
    return mMap != nullptr && mLoads.suspectedCount() > 0 &&
           mLoads.heardWithin(kIsolatedAfter, aNow) == 0;
  }

private:
  using PacketType = typename Format::Packet;

  void steer(const PacketType& aPacket, Core::TimePoint aNow)
  {
    const auto flow = aPacket.flowToService();
    const auto* route =
      mMap == nullptr ? nullptr : mMap->findRoute(flow.service);
    if (route == nullptr) {
      mCounters.increment(SteeringCounter::PacketsWithoutRoute);
      mFlows.erase(flow);
      if (mIsMapCurrent && !aPacket.isReset()) {
        reset(aPacket, "no route");
      }
      return;
    }
    if (aPacket.isOpening()) {
      handleOpening(aPacket, flow, *route, aNow);
    } else {
      handleOngoing(aPacket, flow, *route, aNow);
    }
  }

  void handleOpening(const PacketType& aPacket,
                     const Packet::FlowKey& aFlow,
                     const Route& aRoute,
                     Core::TimePoint aNow)
  {
    auto* known = mFlows.find(aFlow);
    if (known == nullptr) {
      place(aPacket, aFlow, aRoute, mFlows.insert(aFlow, aNow), aNow);
      return;
    }
    known->lastPacketAt = aNow;
    if (known->isConfirmed || known->isEstablished) {
      forward(aPacket, aRoute, *known, Take::Must);
      return;
    }
    mCounters.increment(SteeringCounter::OpeningsRepeated);
    if (mLoads.isSuspected(known->agent, aNow)) {
      mCounters.increment(SteeringCounter::TargetsSuspected);
    }
    known->declined.add(known->agent);
    place(aPacket, aFlow, aRoute, *known, aNow);
  }

  void handleOngoing(const PacketType& aPacket,
                     const Packet::FlowKey& aFlow,
                     const Route& aRoute,
                     Core::TimePoint aNow)
  {
    auto* known = mFlows.find(aFlow);
    if (known == nullptr) {
      if (aPacket.isReset()) {
        return;
      }
      mCounters.increment(SteeringCounter::FlowsSearched);
      auto& flow = mFlows.insert(aFlow, aNow);
      flow.isEstablished = true;
      search(aPacket, aFlow, aRoute, flow, aNow);
      return;
    }
    known->lastPacketAt = aNow;
    if (!std::exchange(known->isEstablished, true)) {
      adoptOffer(*known, aPacket.acknowledgment());
    }
    const bool isLost =
      !known->isConfirmed && mLoads.isSuspected(known->agent, aNow);
    if (known->agent.isNull() || isLost ||
        mMap->findTarget(known->agent) == nullptr) {
      known->declined.add(known->agent);
      search(aPacket, aFlow, aRoute, *known, aNow);
      return;
    }
    forward(aPacket, aRoute, *known, Take::Must);
  }

  /** Several backend servers may have answered; the caller chose one. */
  static void adoptOffer(RememberedFlow& aFlow, std::uint32_t aAcknowledgment)
  {
    for (const auto& offer : aFlow.offers) {
      if (offer.sequence + 1 == aAcknowledgment) {
        aFlow.agent = offer.agent;
        aFlow.isConfirmed = true;
      }
    }
  }

  /** Sends an opening packet to the best target that did not decline. */
  void place(const PacketType& aPacket,
             const Packet::FlowKey& aFlow,
             const Route& aRoute,
             RememberedFlow& aMemory,
             Core::TimePoint aNow)
  {
    const auto hash = flowHash(aFlow);
    const auto& service = mMap->services()[selectService(aRoute, hash)];
    collectCandidates(service, aMemory, Include::Free, aNow);
    const bool isTired = aMemory.full.size() >= kMostTurnedAway;
    auto take = Take::May;
    const auto* chosen =
      isTired ? nullptr : selectTarget(mCandidates, aRoute.habit, hash);
    if (chosen == nullptr) {
      take = Take::Must;
      collectCandidates(service, aMemory, Include::All, aNow);
      chosen = selectTarget(mCandidates, FlowHabit::OneRequest, hash);
    }
    if (chosen == nullptr || expectedWait(*chosen) > aRoute.timeout) {
      refuse(aPacket, aFlow, service, chosen);
      return;
    }
    aMemory.agent = chosen->target->agent;
    mCounters.increment(SteeringCounter::FlowsChosen);
    mCounters.increment(SteeringCounter::FlowsAcrossZones,
                        chosen->isOwnZone ? 0 : 1);
    mLoads.noteAsked(aMemory.agent, aNow);
    mLoads.noteFlow(aMemory.agent, aRoute.habit == FlowHabit::ManyRequests);
    forward(aPacket, aRoute, aMemory, take);
  }

  enum class Include
  {
    /** Targets that did not turn the flow away. */
    Free,
    All,
  };

  void collectCandidates(const Service& aService,
                         const RememberedFlow& aMemory,
                         Include aInclude,
                         Core::TimePoint aNow)
  {
    mCandidates.clear();
    for (const auto& target : aService.targets) {
      const bool isOut =
        !target.takesNewFlows(aNow) ||
        aMemory.declined.contains(target.agent) ||
        (aInclude == Include::Free && aMemory.full.contains(target.agent)) ||
        !mLoads.isUsable(target.agent, aNow);
      if (!isOut) {
        mCandidates.push_back({ &target,
                                &mLoads.find(target.agent),
                                target.zone == mSelf.zone,
                                target.warmUntil <= aNow });
      }
    }
  }

  void refuse(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Service& aService,
              const Candidate* aBest)
  {
    mCounters.increment(SteeringCounter::FlowsRefused);
    mEvents.write(Telemetry::Event::FlowRefused,
                  absl::StrCat(Packet::formatFlowKey(aFlow),
                               " service ",
                               aService.name,
                               aBest == nullptr
                                 ? std::string(": no target is usable")
                                 : absl::StrCat(": would wait ",
                                                expectedWait(*aBest).count(),
                                                " ms")));
    sendReset(aPacket);
    mFlows.erase(aFlow);
  }

  /** Sends a packet of an open flow to the next agent that may have it. */
  void search(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Route& aRoute,
              RememberedFlow& aMemory,
              Core::TimePoint aNow)
  {
    aMemory.isConfirmed = false;
    aMemory.agent = {};
    const auto order = searchOrder(*mMap, aRoute, mSelf.zone, flowHash(aFlow));
    bool isAnySuspected = false;
    for (const auto* target : order) {
      if (mLoads.isSuspected(target->agent, aNow)) {
        isAnySuspected = true;
        continue;
      }
      if (!aMemory.declined.contains(target->agent)) {
        aMemory.agent = target->agent;
        mLoads.noteAsked(aMemory.agent, aNow);
        forward(aPacket, aRoute, aMemory, Take::Must);
        return;
      }
    }
    mCounters.increment(SteeringCounter::PacketsWithoutTarget);
    noteExhausted(aPacket, aFlow, aMemory, isAnySuspected, aNow);
  }

  /** Every agent that answers has declined. */
  void noteExhausted(const PacketType& aPacket,
                     const Packet::FlowKey& aFlow,
                     RememberedFlow& aMemory,
                     bool aIsAnySuspected,
                     Core::TimePoint aNow)
  {
    aMemory.declined.clear();
    if (aMemory.exhaustedAt == Core::TimePoint{}) {
      aMemory.exhaustedAt = aNow;
      return;
    }
    const bool isSure = mIsMapCurrent && !aIsAnySuspected &&
                        aNow - aMemory.exhaustedAt >= kSearchAgainAfter;
    if (isSure) {
      reset(aPacket, "no target holds the flow");
      mFlows.erase(aFlow);
    }
  }

  void handleHandBack(const Core::Endpoint& aFrom,
                      HandBackReason aReason,
                      absl::Span<const std::uint8_t> aData,
                      Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mCounters.increment(SteeringCounter::PacketsHandedBack);
    const auto flow = packet->flowToService();
    const auto* route =
      mMap == nullptr ? nullptr : mMap->findRoute(flow.service);
    if (route == nullptr) {
      mCounters.increment(SteeringCounter::PacketsWithoutRoute);
      return;
    }
    auto* known = mFlows.find(flow);
    auto& memory = known != nullptr ? *known : mFlows.insert(flow, aNow);
    if (packet->isOpening()) {
      handleOpeningBack(*packet, flow, *route, aFrom, aReason, memory, aNow);
    } else {
      handleOngoingBack(*packet, flow, *route, aFrom, memory, aNow);
    }
  }

  void handleOpeningBack(const PacketType& aPacket,
                         const Packet::FlowKey& aFlow,
                         const Route& aRoute,
                         const Core::Endpoint& aFrom,
                         HandBackReason aReason,
                         RememberedFlow& aMemory,
                         Core::TimePoint aNow)
  {
    if (aReason == HandBackReason::Full) {
      mCounters.increment(SteeringCounter::FlowsTurnedAway);
      aMemory.full.add(aFrom);
    } else {
      aMemory.declined.add(aFrom);
    }
    const bool isElsewhere = !aMemory.agent.isNull() && aMemory.agent != aFrom;
    if (aMemory.isEstablished || isElsewhere) {
      return;
    }
    place(aPacket, aFlow, aRoute, aMemory, aNow);
  }

  void handleOngoingBack(const PacketType& aPacket,
                         const Packet::FlowKey& aFlow,
                         const Route& aRoute,
                         const Core::Endpoint& aFrom,
                         RememberedFlow& aMemory,
                         Core::TimePoint aNow)
  {
    aMemory.isEstablished = true;
    const bool isElsewhere = !aMemory.agent.isNull() && aMemory.agent != aFrom;
    if (isElsewhere) {
      forward(aPacket, aRoute, aMemory, Take::Must);
      return;
    }
    aMemory.declined.add(aFrom);
    search(aPacket, aFlow, aRoute, aMemory, aNow);
  }

  void handleNotice(const Core::Endpoint& aFrom,
                    absl::Span<const std::uint8_t> aBody,
                    Core::TimePoint aNow)
  {
    const auto notice = OwnerNotice::parse(aBody);
    if (!notice.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mCounters.increment(SteeringCounter::OwnerNotices);
    auto* known = mFlows.find(notice->flow);
    auto& memory =
      known != nullptr ? *known : mFlows.insert(notice->flow, aNow);
    if (notice->sequence != 0 && !memory.isEstablished) {
      memory.offers.push_back({ aFrom, notice->sequence });
    }
    if (notice->sequence != 0 && memory.isEstablished) {
      // The caller chose among the offers already.
      return;
    }
    const bool isFound = memory.isEstablished && !memory.isConfirmed;
    mCounters.increment(SteeringCounter::FlowsFound, isFound ? 1 : 0);
    memory.agent = aFrom;
    memory.isConfirmed = true;
    memory.declined.clear();
    memory.exhaustedAt = {};
  }

  enum class Take
  {
    May,
    Must,
  };

  void forward(const PacketType& aPacket,
               const Route& aRoute,
               const RememberedFlow& aMemory,
               Take aTake)
  {
    const auto* target = mMap->findTarget(aMemory.agent);
    if (target == nullptr) {
      mCounters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.mustTake = aTake == Take::Must;
    message.wantsNotice = !aMemory.isConfirmed;
    message.isLongFlow = aRoute.habit == FlowHabit::ManyRequests;
    message.serviceTag = mMap->serviceOf(aMemory.agent).tag;
    message.slots = static_cast<std::uint16_t>(target->slots);
    mBuffer.clear();
    message.appendTo(mBuffer);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    mPort.sendToAgent(aMemory.agent, mBuffer);
    mCounters.increment(SteeringCounter::PacketsForwarded);
  }

  void sendProbe(const Core::Endpoint& aAgent)
  {
    mBuffer.clear();
    AgentMessage message;
    message.kind = MessageKind::Probe;
    message.appendTo(mBuffer);
    mPort.sendToAgent(aAgent, mBuffer);
  }

  void noteReport(const Core::Endpoint& aFrom,
                  const ReportedLoad& aLoad,
                  Core::TimePoint aNow)
  {
    if (mMap != nullptr && mMap->findTarget(aFrom) != nullptr) {
      mLoads.noteReport(aFrom, aLoad, aNow);
    }
  }

  void reset(const PacketType& aPacket, const char* aWhy)
  {
    mCounters.increment(SteeringCounter::FlowsReset);
    mEvents.write(
      Telemetry::Event::FlowNotFound,
      absl::StrCat(Packet::formatFlowKey(aPacket.flowToService()), ": ", aWhy));
    sendReset(aPacket);
  }

  void sendReset(const PacketType& aPacket)
  {
    const auto bytes = Format::buildReset(aPacket);
    mPort.sendToCaller(aPacket.flowToService().caller, bytes);
  }

  Port& mPort;
  SteererIdentity mSelf;
  Telemetry::EventLog& mEvents;
  FleetMapPointer mMap;
  bool mIsMapCurrent = false;
  FlowMemory mFlows;
  LoadTable mLoads;
  SteeringCounters mCounters;
  std::vector<Candidate> mCandidates;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace Steering
