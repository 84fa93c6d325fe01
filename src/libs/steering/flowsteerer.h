#pragma once

#include "steering/openingside.h"
#include "steering/searchside.h"
#include "steering/steerercontext.h"

#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace Steering {

/**
 * The decisions of a balancer whose backend servers hand back what they do
 * not hold: it picks targets for new flows, and finds the owner of a flow that
 * it does not know. Nothing depends on its memory. Used by one thread.
 */
template<PacketFormat Format, SteererPort Port>
class FlowSteerer
{
public:
  /** Without a word from any agent for so long a balancer is cut off. */
  static constexpr std::chrono::milliseconds kIsolatedAfter{ 600 };

  FlowSteerer(Port& aPort, SteererIdentity aSelf, Telemetry::EventLog& aEvents)
    : mContext(aPort, std::move(aSelf), aEvents)
    , mOpenings(mContext)
    , mSearch(mContext)
  {
  }
  FlowSteerer(const FlowSteerer&) = delete;
  FlowSteerer& operator=(const FlowSteerer&) = delete;

  void adoptMap(const FleetMapPointer& aMap, Core::TimePoint aNow)
  {
    if (mContext.map != nullptr && hasNewTarget(*mContext.map, *aMap)) {
      mContext.settledAt = aNow + SearchSide<Format, Port>::kSearchAgainAfter;
    }
    mContext.map = aMap;
    mContext.loads.forgetUnless([this](const Core::Endpoint& aAgent) {
      return mContext.map->findTarget(aAgent) != nullptr;
    });
    mOpenings.retryWaiting(aNow);
  }

  /** Tells whether the platform answers, so that changes would be known. */
  void setInTouch(bool aIsInTouch) { mContext.isInTouch = aIsInTouch; }

  const FleetMapPointer& map() const { return mContext.map; }
  const SteeringCounters& counters() const { return mContext.counters; }
  std::size_t rememberedFlows() const { return mContext.flows.size(); }

  /** Handles one packet that the fabric handed over. */
  void handleCallerPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    mContext.counters.increment(SteeringCounter::PacketsReceived);
    const auto packet = Format::parse(aData);
    if (!packet.ok() || packet->isHandedBack()) {
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
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    if (mContext.map == nullptr || mContext.map->findTarget(aFrom) == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    mContext.loads.noteReport(aFrom, message->load, aNow);
    mContext.newestRevision =
      std::max(mContext.newestRevision, message->mapRevision);
    const auto body = aData.subspan(AgentMessage::kBytes);
    switch (message->kind) {
      case MessageKind::HandBack:
        handleHandBack(aFrom, message->reason, body, aNow);
        break;
      case MessageKind::OwnerNotice:
        handleNotice(aFrom, body, aNow);
        break;
      case MessageKind::OwnerElsewhere:
        handleElsewhere(body, aNow);
        break;
      case MessageKind::LoadReport:
        mContext.counters.increment(SteeringCounter::LoadReports);
        if (mOpenings.hasWaiting()) {
          mOpenings.retryWaiting(aNow);
        }
        break;
      case MessageKind::Forward:
      case MessageKind::Probe:
      case MessageKind::Locate:
      case MessageKind::NoteOwner:
        mContext.counters.increment(SteeringCounter::PacketsMalformed);
        break;
    }
  }

  /** Follows up on silent agents and waiting flows, forgets idle ones. */
  void tick(Core::TimePoint aNow)
  {
    for (const auto& agent : mContext.loads.takeDueProbes(aNow)) {
      mContext.sendProbe(agent);
    }
    mOpenings.tick(aNow);
    mSearch.tick(aNow);
    mContext.flows.expire(aNow);
  }

  /** When tick() is due; nothing while nothing is waited for. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (const auto searches = mSearch.timeToTick()) {
      return searches;
    }
    if (const auto openings = mOpenings.timeToTick()) {
      return openings;
    }
    if (mContext.loads.suspectedCount() > 0) {
      return LoadTable::kProbeInterval;
    }
    return std::nullopt;
  }

  /** True while no agent answers this balancer. */
  bool isIsolated(Core::TimePoint aNow) const
  {
    return mContext.map != nullptr && mContext.loads.suspectedCount() > 0 &&
           mContext.loads.heardWithin(kIsolatedAfter, aNow) == 0;
  }

private:
  using PacketType = typename Format::Packet;

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
    const auto flow = aPacket.flowToService();
    const auto* route = mContext.findRoute(flow);
    if (mContext.map != nullptr && route == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutRoute);
      mContext.flows.erase(flow);
      if (mContext.isMapCurrent() && !aPacket.isReset()) {
        mContext.resetUnknown(aPacket, "no route");
      }
      return;
    }
    if (aPacket.isOpening()) {
      mOpenings.handle(aPacket, flow, aNow);
      return;
    }
    if (route == nullptr) {
      mContext.counters.increment(SteeringCounter::PacketsWithoutRoute);
      return;
    }
    mOpenings.noteAnswered(flow);
    mSearch.handle(aPacket, flow, *route, aNow);
  }

  void handleHandBack(const Core::Endpoint& aFrom,
                      HandBackReason aReason,
                      absl::Span<const std::uint8_t> aData,
                      Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mContext.counters.increment(SteeringCounter::PacketsHandedBack);
    const auto flow = packet->flowToService();
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
    if (packet->isOpening()) {
      mOpenings.handleBack(flow, aFrom, aReason, aNow);
    } else {
      mSearch.handleBack(*packet, flow, *route, aFrom, aNow);
    }
  }

  void handleNotice(const Core::Endpoint& aFrom,
                    absl::Span<const std::uint8_t> aBody,
                    Core::TimePoint aNow)
  {
    const auto notice = OwnerNotice::parse(aBody);
    if (!notice.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mContext.counters.increment(SteeringCounter::OwnerNotices);
    mOpenings.noteAnswered(notice->flow);
    auto& memory = mContext.flows.findOrInsert(notice->flow, aNow);
    const bool isOffer = notice->sequence != 0;
    if (isOffer && memory.isEstablished) {
      // The caller chose among the offers already.
      return;
    }
    if (isOffer) {
      memory.offers.push_back({ aFrom, notice->sequence });
    }
    const bool isFound = memory.isEstablished && !memory.isConfirmed;
    if (isFound) {
      mContext.counters.increment(SteeringCounter::FlowsFound);
      mContext.events.write(Telemetry::Event::FlowFound, [&] {
        return mContext.flowFields(notice->flow)
          .add("agent", Core::formatEndpoint(aFrom));
      });
    }
    const auto asked = std::exchange(memory.agent, aFrom);
    memory.isConfirmed = true;
    memory.passedOver.clear();
    memory.declinedBy.clear();
    memory.exhaustedAt = {};
    mSearch.noteFound(notice->flow, asked);
    if (isOffer || isFound) {
      mSearch.tellOwner(notice->flow, aFrom);
    }
  }

  void handleElsewhere(absl::Span<const std::uint8_t> aBody,
                       Core::TimePoint aNow)
  {
    const auto hint = OwnerHint::parse(aBody);
    if (!hint.ok()) {
      mContext.counters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mSearch.tryNamed(*hint, aNow);
  }

  SteererContext<Format, Port> mContext;
  OpeningSide<Format, Port> mOpenings;
  SearchSide<Format, Port> mSearch;
};

} // namespace Steering
