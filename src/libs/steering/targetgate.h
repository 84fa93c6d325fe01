#pragma once

#include "steering/agentmessage.h"
#include "steering/balancerlinks.h"
#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/ownerhints.h"
#include "steering/packetformat.h"
#include "steering/requestqueue.h"
#include "steering/slotwait.h"
#include "steering/steeringcounters.h"
#include "steering/targetgateflows.h"

#include "telemetry/eventlog.h"
#include "telemetry/histogramset.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/** Where an agent's packets go. */
template<typename T>
concept GatePort = requires(T& aPort,
                            const Core::Endpoint& aTo,
                            absl::Span<const std::uint8_t> aData)
{
  /** One message to a balancer. */
  aPort.sendToBalancer(aTo, aData);
  /** One packet to the backend server. */
  aPort.deliver(aData);
  /** One packet to a caller. */
  aPort.sendToCaller(aTo, aData);
};

/** Who an agent is. */
struct GateIdentity
{
  /** Name of the service that the backend server belongs to. */
  std::string service;
};

/**
 * The decisions of an agent beside a backend server that hands back what it
 * does not hold: it admits new flows by the slots in use, hands the rest back
 * to the balancer, and tells balancers who holds a flow. It needs no map and
 * its memory is no authority. Used by one thread.
 */
template<PacketFormat Format, GatePort Port>
class TargetGate
{
public:
  /**
   * A backend server answers an opening packet within a millisecond. Below
   * the time after which a balancer suspects this agent, less the way back.
   */
  static constexpr std::chrono::milliseconds kOpeningTimeout{ 60 };
  /** So many openings in a row without an answer make a server silent. */
  static constexpr int kSilentAfter = 2;
  /** A silent server gets one opening in so long. */
  static constexpr std::chrono::milliseconds kSilentRetry{ 500 };
  /**
   * Requests that a backend server gets beyond its slots, so that no slot is
   * free while an answer is on its way through the agent.
   */
  static constexpr std::uint32_t kDeliveredAhead = 1;

  TargetGate(Port& aPort,
             GateIdentity aSelf,
             Telemetry::EventLog& aEvents,
             Telemetry::HistogramSet& aHistograms,
             Core::TimePoint aNow)
    : mPort(aPort)
    , mLinks(aPort, mCounters)
    , mSelf(std::move(aSelf))
    , mServiceTag(FleetMap::serviceTag(mSelf.service))
    , mEvents(aEvents)
    , mHistograms(aHistograms)
    , mStartedAt(aNow)
  {
  }
  TargetGate(const TargetGate&) = delete;
  TargetGate& operator=(const TargetGate&) = delete;

  const SteeringCounters& counters() const { return mCounters; }
  std::size_t openFlows() const { return mFlows.size(); }
  std::uint32_t inProgress() const { return mFlows.inProgress(); }
  std::size_t waiting() const { return mQueue.size(); }

  /** No new flow is admitted from now on, and balancers are told. */
  void beginLeaving(Core::TimePoint aNow)
  {
    mIsLeaving = true;
    mLinks.sendReportToAll(load(aNow));
  }

  /** Handles one datagram from a balancer. */
  void handleBalancerMessage(const Core::Endpoint& aFrom,
                             absl::Span<const std::uint8_t> aData,
                             Core::TimePoint aNow)
  {
    mCounters.increment(SteeringCounter::PacketsReceived);
    mFlows.expire(aNow);
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mLinks.noteMessage(aFrom, message->mapRevision, aNow);
    if (message->kind == MessageKind::Probe) {
      mLinks.sendReport(aFrom, load(aNow));
      return;
    }
    const auto body = aData.subspan(AgentMessage::kBytes);
    if (message->kind == MessageKind::Locate) {
      handleLocate(aFrom, body, aNow);
      return;
    }
    if (message->kind == MessageKind::NoteOwner) {
      handleHint(body, aNow);
      return;
    }
    const auto packet = Format::parse(body);
    if (message->kind != MessageKind::Forward || !packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mSlots = std::max<std::uint32_t>(message->slots, 1);
    if (message->serviceTag != mServiceTag) {
      mCounters.increment(SteeringCounter::WrongService);
      handBack(aFrom, *packet, HandBackReason::WrongService, aNow);
      return;
    }
    if (packet->isOpening()) {
      handleOpening(aFrom, *message, *packet, aNow);
    } else {
      handleOngoing(aFrom, *message, *packet, aNow);
    }
  }

  /** Handles one packet that the backend server sent. */
  void handleTargetPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    noteTargetAnswered();
    if (packet->isHandedBack()) {
      handleReturned(*packet, aNow);
      return;
    }
    const auto flow = packet->flowToCaller();
    noteTargetPacket(*packet, flow, aNow);
    mPort.sendToCaller(flow.caller, aData);
    mCounters.increment(SteeringCounter::PacketsToCallers);
  }

  /** Hands back what the backend server left unanswered, tells loads. */
  void tick(Core::TimePoint aNow)
  {
    returnUnanswered(aNow);
    mFlows.expire(aNow);
    mHints.expire(aNow);
    for (const auto& key : mQueue.takeUseless(aNow)) {
      mFlows.erase(key);
    }
    deliverHeld(aNow);
    mLinks.reportChanges(load(aNow), aNow);
  }

  /** When tick() is due; nothing while nothing is waited for. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (mOpenings.empty() && mQueue.isEmpty()) {
      return std::nullopt;
    }
    return kOpeningTimeout / 2;
  }

private:
  using PacketType = typename Format::Packet;
  using Bytes = std::vector<std::uint8_t>;

  /** An opening packet that the backend server has not answered yet. */
  struct Opening
  {
    Core::Endpoint balancer;
    Core::TimePoint sentAt{};
    Bytes packet;
  };

  void handleOpening(const Core::Endpoint& aFrom,
                     const AgentMessage& aMessage,
                     const PacketType& aPacket,
                     Core::TimePoint aNow)
  {
    const auto key = aPacket.flowToService();
    const bool isKnown = mFlows.find(key) != nullptr;
    if (!isKnown) {
      const auto reason = reasonAgainst(aMessage, aNow);
      if (reason != HandBackReason::None) {
        if (reason == HandBackReason::Full) {
          mLinks.noteWaiting(aFrom);
        }
        mEvents.write(Telemetry::Event::FlowTurnedAway, [&] {
          return flowFields(key, aNow)
            .add("why", nameOf(reason))
            .add("waitedMs", aMessage.age);
        });
        handBack(aFrom, aPacket, reason, aNow);
        return;
      }
      mCounters.increment(SteeringCounter::FlowsAdmitted);
      mEvents.write(Telemetry::Event::FlowAdmitted, [&] {
        return flowFields(key, aNow)
          .add("balancer", Core::formatEndpoint(aFrom))
          .add("waitedMs", aMessage.age);
      });
    }
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    flow.wantsNotice = true;
    flow.startedAt = aNow - aMessage.age;
    mFlows.noteLong(flow, aMessage.isLongFlow);
    if (!isLate(aMessage)) {
      mFlows.expectRequest(key, flow, aNow);
    }
    const auto bytes = aPacket.bytes();
    mOpenings[key] = { aFrom, aNow, Bytes(bytes.begin(), bytes.end()) };
    deliver(aFrom, aPacket);
  }

  static bool isLate(const AgentMessage& aMessage)
  {
    return aMessage.age >= aMessage.latencyObjective;
  }

  /** Another agent has the flow; balancers will ask this one. */
  void handleHint(absl::Span<const std::uint8_t> aBody, Core::TimePoint aNow)
  {
    const auto hint = OwnerHint::parse(aBody);
    if (!hint.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mHints.note(hint->flow, hint->agent, aNow);
  }

  /** Tells a balancer that asks who owns a flow, as far as known. */
  void handleLocate(const Core::Endpoint& aFrom,
                    absl::Span<const std::uint8_t> aBody,
                    Core::TimePoint aNow)
  {
    const auto question = OwnerNotice::parse(aBody);
    if (!question.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    const auto* flow = mFlows.find(question->flow);
    if (flow != nullptr && flow->isConfirmed && !flow->isEnded) {
      sendNotice(aFrom, question->flow, 0, aNow);
      return;
    }
    const auto owner = mHints.find(question->flow);
    if (!owner.isNull()) {
      mLinks.sendHint(aFrom, { question->flow, owner }, load(aNow));
    }
  }

  HandBackReason reasonAgainst(const AgentMessage& aMessage,
                               Core::TimePoint aNow)
  {
    if (mIsLeaving) {
      return HandBackReason::Leaving;
    }
    if (mUnanswered >= kSilentAfter) {
      if (aNow - mTriedAt < kSilentRetry) {
        return HandBackReason::Silent;
      }
      mTriedAt = aNow;
      return HandBackReason::None;
    }
    return hasRoom(aMessage, aNow) ? HandBackReason::None
                                   : HandBackReason::Full;
  }

  /** True when a request of the flow would get a slot early enough. */
  bool hasRoom(const AgentMessage& aMessage, Core::TimePoint aNow) const
  {
    const auto fresh = mFlows.inProgress() + mQueue.freshCount(aNow);
    if (!isLate(aMessage)) {
      return waitForSlot(fresh, mSlots, mFlows.serviceTime()) <=
             longestWait(aMessage.latencyObjective);
    }
    const auto all =
      mFlows.inProgress() + static_cast<std::uint32_t>(mQueue.size());
    return waitForSlot(all, mSlots, mFlows.serviceTime()) + aMessage.age <
           aMessage.timeout;
  }

  void handleOngoing(const Core::Endpoint& aFrom,
                     const AgentMessage& aMessage,
                     const PacketType& aPacket,
                     Core::TimePoint aNow)
  {
    const auto key = aPacket.flowToService();
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    if (aMessage.wantsNotice && flow.isConfirmed) {
      sendNotice(flow.balancer, key, 0, aNow);
    } else {
      flow.wantsNotice |= aMessage.wantsNotice;
    }
    if (aPacket.isReset()) {
      mQueue.erase(key);
      mFlows.noteEnd(flow);
    } else if (aPacket.carriesData() && !flow.isEnded) {
      mFlows.noteLong(flow, aMessage.isLongFlow);
      handleData(aFrom, aMessage, aPacket, flow, aNow);
      return;
    } else if (aPacket.isClosing() && flow.request == RequestState::Held) {
      // It must not overtake the request.
      mQueue.append(key, copyOf(aPacket));
      return;
    }
    deliver(aFrom, aPacket);
  }

  /** Data of a request goes to the backend server, or waits for a slot. */
  void handleData(const Core::Endpoint& aFrom,
                  const AgentMessage& aMessage,
                  const PacketType& aPacket,
                  GatedFlow& aFlow,
                  Core::TimePoint aNow)
  {
    const bool isNew = mFlows.noteCallerData(aFlow, aPacket.sequence());
    if (aFlow.request == RequestState::Held) {
      if (isNew) {
        mQueue.append(aPacket.flowToService(), copyOf(aPacket));
      }
      return;
    }
    const bool startsRequest =
      isNew && aFlow.request != RequestState::Delivered;
    // What the backend server may not hold must reach it, to be handed back.
    if (startsRequest && aFlow.isConfirmed && !hasFreeSlot()) {
      hold(aMessage, aPacket, aFlow, aNow);
      return;
    }
    if (startsRequest) {
      mFlows.noteDelivered(aFlow, aNow);
    }
    deliver(aFrom, aPacket);
  }

  bool hasFreeSlot() const
  {
    return mFlows.delivered() < mSlots + kDeliveredAhead;
  }

  void hold(const AgentMessage& aMessage,
            const PacketType& aPacket,
            GatedFlow& aFlow,
            Core::TimePoint aNow)
  {
    // Only the first request of a flow waited for the opening as well.
    const bool isFirst = aFlow.startedAt != Core::TimePoint{};
    HeldRequest request;
    request.flow = aPacket.flowToService();
    request.startedAt = isFirst ? aFlow.startedAt : aNow;
    request.lateAt = request.startedAt + aMessage.latencyObjective;
    request.uselessAt = request.startedAt + aMessage.timeout;
    request.packets.push_back(copyOf(aPacket));
    mQueue.add(std::move(request));
    mFlows.noteHeld(aFlow);
    mCounters.increment(SteeringCounter::RequestsHeld);
    mEvents.write(Telemetry::Event::RequestHeld,
                  [&] { return flowFields(aPacket.flowToService(), aNow); });
  }

  /** Gives free slots to what waits. */
  void deliverHeld(Core::TimePoint aNow)
  {
    while (hasFreeSlot() && !mQueue.isEmpty()) {
      const auto request = mQueue.takeNext(aNow);
      auto& flow = mFlows.touch(request->flow, aNow);
      mFlows.noteDelivered(flow, aNow);
      for (const auto& bytes : request->packets) {
        const auto packet = Format::parse(bytes);
        if (packet.ok()) {
          deliver(flow.balancer, *packet);
        }
      }
    }
  }

  static Bytes copyOf(const PacketType& aPacket)
  {
    const auto bytes = aPacket.bytes();
    return Bytes(bytes.begin(), bytes.end());
  }

  void noteTargetPacket(const PacketType& aPacket,
                        const Packet::FlowKey& aFlow,
                        Core::TimePoint aNow)
  {
    auto& flow = mFlows.touch(aFlow, aNow);
    if (aPacket.isReset()) {
      mQueue.erase(aFlow);
      mFlows.noteEnd(flow);
      mOpenings.erase(aFlow);
      deliverHeld(aNow);
      return;
    }
    flow.isConfirmed = true;
    if (aPacket.carriesData()) {
      flow.startedAt = {};
      noteAnswer(flow, aFlow, aNow);
      deliverHeld(aNow);
      if (mFlows.inProgress() < mSlots) {
        mLinks.tellNextWaiting(load(aNow));
      }
    }
    if (aPacket.isAccepting()) {
      mOpenings.erase(aFlow);
    }
    if (std::exchange(flow.wantsNotice, false)) {
      const auto sequence = aPacket.isAccepting() ? aPacket.sequence() : 0;
      sendNotice(flow.balancer, aFlow, sequence, aNow);
    }
    if (aPacket.isClosing()) {
      mQueue.erase(aFlow);
      mFlows.noteEnd(flow);
      deliverHeld(aNow);
    }
  }

  void noteAnswer(GatedFlow& aFlow,
                  const Packet::FlowKey& aKey,
                  Core::TimePoint aNow)
  {
    if (aFlow.request != RequestState::Delivered) {
      return;
    }
    const auto taken = aNow - aFlow.deliveredAt;
    mFlows.noteAnswer(aFlow, aNow);
    mHistograms.add(mSelf.service,
                    "class",
                    aFlow.isLong ? "many-requests" : "one-request",
                    taken);
    mEvents.write(Telemetry::Event::RequestAnswered, [&] {
      return flowFields(aKey, aNow)
        .add("takenMs",
             std::chrono::duration_cast<std::chrono::milliseconds>(taken));
    });
  }

  /** The first fields of each line about a flow, with the load. */
  Telemetry::EventFields flowFields(const Packet::FlowKey& aFlow,
                                    Core::TimePoint aNow) const
  {
    Telemetry::EventFields fields;
    fields.flow(flowHash(aFlow))
      .add("caller", Core::formatEndpoint(aFlow.caller))
      .add("service", Core::formatEndpoint(aFlow.service))
      .add("delivered", mFlows.delivered())
      .add("expected", mFlows.inProgress() - mFlows.delivered())
      .add("waitingFresh", mQueue.freshCount(aNow))
      .add("waiting", mQueue.size())
      .add("slots", mSlots);
    return fields;
  }

  /** The backend server does not hold the flow, or refused to open it. */
  void handleReturned(const PacketType& aPacket, Core::TimePoint aNow)
  {
    const auto balancer = mLinks.endpointOf(aPacket.returnToken());
    const auto flow = aPacket.flowToService();
    mQueue.erase(flow);
    mFlows.erase(flow);
    mOpenings.erase(flow);
    if (balancer.isNull()) {
      mCounters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    const auto reason =
      aPacket.isOpening() ? HandBackReason::Refused : HandBackReason::NotHeld;
    mEvents.write(Telemetry::Event::FlowNotHeld, [&] {
      return flowFields(flow, aNow).add("why", nameOf(reason));
    });
    handBack(balancer, aPacket, reason, aNow);
  }

  void returnUnanswered(Core::TimePoint aNow)
  {
    for (auto it = mOpenings.begin(); it != mOpenings.end();) {
      if (aNow - it->second.sentAt < kOpeningTimeout) {
        ++it;
        continue;
      }
      mCounters.increment(SteeringCounter::OpeningsUnanswered);
      if (++mUnanswered == kSilentAfter) {
        mTriedAt = aNow;
        mEvents.write(Telemetry::Event::TargetSilent,
                      "it left opening packets unanswered");
      }
      const auto opening = std::move(it->second);
      mFlows.erase(it->first);
      mOpenings.erase(it++);
      const auto packet = Format::parse(opening.packet);
      if (packet.ok()) {
        handBack(opening.balancer, *packet, HandBackReason::Silent, aNow);
      }
    }
  }

  void noteTargetAnswered()
  {
    if (mUnanswered >= kSilentAfter) {
      mEvents.write(Telemetry::Event::TargetAnswers, "it answers again");
    }
    mUnanswered = 0;
  }

  void deliver(const Core::Endpoint& aFrom, const PacketType& aPacket)
  {
    const auto bytes = aPacket.bytes();
    mBuffer.assign(bytes.begin(), bytes.end());
    Format::stampReturnToken(absl::MakeSpan(mBuffer), mLinks.tokenOf(aFrom));
    mPort.deliver(mBuffer);
    mCounters.increment(SteeringCounter::PacketsDelivered);
  }

  void handBack(const Core::Endpoint& aTo,
                const PacketType& aPacket,
                HandBackReason aReason,
                Core::TimePoint aNow)
  {
    mLinks.handBack(aTo, aPacket, aReason, load(aNow));
  }

  void sendNotice(const Core::Endpoint& aTo,
                  const Packet::FlowKey& aFlow,
                  std::uint32_t aSequence,
                  Core::TimePoint aNow)
  {
    mLinks.sendNotice(aTo, aFlow, aSequence, load(aNow));
  }

  ReportedLoad load(Core::TimePoint aNow) const
  {
    const auto fresh = mQueue.freshCount(aNow);
    ReportedLoad load;
    load.inProgress = narrow(mFlows.inProgress() + fresh);
    load.lateRequests =
      narrow(static_cast<std::uint32_t>(mQueue.size()) - fresh);
    load.longFlows = narrow(mFlows.longFlows());
    load.serviceTime = mFlows.serviceTime();
    load.knowsAllFlows = aNow - mStartedAt >= TargetGateFlows::kIdleTime;
    load.isUnavailable = mIsLeaving || mUnanswered >= kSilentAfter;
    return load;
  }

  static std::uint16_t narrow(std::uint32_t aValue)
  {
    constexpr std::uint32_t kMost = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(aValue, kMost));
  }

  Port& mPort;
  SteeringCounters mCounters;
  BalancerLinks<Format, Port> mLinks;
  GateIdentity mSelf;
  std::uint32_t mServiceTag;
  Telemetry::EventLog& mEvents;
  Telemetry::HistogramSet& mHistograms;
  Core::TimePoint mStartedAt;
  TargetGateFlows mFlows;
  OwnerHints mHints;
  RequestQueue mQueue;
  absl::flat_hash_map<Packet::FlowKey, Opening> mOpenings;
  std::uint32_t mSlots = 1;
  int mUnanswered = 0;
  Core::TimePoint mTriedAt{};
  bool mIsLeaving = false;
  Bytes mBuffer;
};

} // namespace Steering
