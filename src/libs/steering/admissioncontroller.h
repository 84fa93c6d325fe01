#pragma once

#include "steering/agentmessage.h"
#include "steering/balancerlinks.h"
#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/ownerhints.h"
#include "steering/packetformat.h"
#include "steering/queuetime.h"
#include "steering/requestqueue.h"
#include "steering/steeringcounters.h"
#include "steering/targetflowtable.h"

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

/** Where an agent sends its packets. */
template<typename T>
concept AgentOutput = requires(T& aOutput,
                               const Core::Endpoint& aTo,
                               absl::Span<const std::uint8_t> aData)
{
  /** Sends one message to a balancer. */
  aOutput.sendToBalancer(aTo, aData);
  /** Sends one packet to the backend server. */
  aOutput.deliver(aData);
  /** Sends one packet to a caller. */
  aOutput.sendToCaller(aTo, aData);
};

struct AgentConfig
{
  /** Name of the service that the backend server belongs to. */
  std::string service;
};

/**
 * Handles the flows of an agent whose backend server returns packets of flows
 * that it does not own. A new flow is admitted if its first request is expected
 * to get a slot in time, and is rejected otherwise. Requests are queued while
 * all slots are in use. Balancers are notified which flows the backend server
 * owns.
 *
 * The class needs no fleet map. Its flow table is only a record: the backend
 * server decides which flows it owns. Used by one thread.
 */
template<PacketFormat Format, AgentOutput Output>
class AdmissionController
{
public:
  /**
   * Time after which an unanswered SYN is rejected; a backend server answers
   * within a millisecond. With the network latency of the rejection added, the
   * time is below AgentLoadTable::kReplyTimeout, after which a balancer
   * suspects the agent.
   */
  static constexpr std::chrono::milliseconds kSynTimeout{ 60 };
  /** Consecutive unanswered SYNs that make a backend server unresponsive. */
  static constexpr int kUnresponsiveThreshold = 2;
  /** An unresponsive backend server gets only one SYN per interval. */
  static constexpr std::chrono::milliseconds kUnresponsiveRetryInterval{ 500 };
  /**
   * Requests delivered in excess of the slots, so that no slot is idle while
   * an answer passes through the agent.
   */
  static constexpr std::uint32_t kPrefetchedRequests = 1;

  AdmissionController(Output& aOutput,
                      AgentConfig aConfig,
                      Telemetry::EventLog& aEvents,
                      Telemetry::HistogramSet& aHistograms,
                      Core::TimePoint aNow)
    : mOutput(aOutput)
    , mLinks(aOutput, mCounters)
    , mConfig(std::move(aConfig))
    , mServiceTag(FleetMap::serviceTag(mConfig.service))
    , mEvents(aEvents)
    , mHistograms(aHistograms)
    , mStartedAt(aNow)
  {
  }
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  const SteeringCounters& counters() const { return mCounters; }
  std::size_t openFlows() const { return mFlows.size(); }
  std::uint32_t inProgress() const { return mFlows.inProgress(); }
  std::size_t queuedRequests() const { return mQueue.size(); }

  /** Rejects all new flows from now on and reports this to the balancers. */
  void startDraining(Core::TimePoint aNow)
  {
    mIsDraining = true;
    mLinks.sendLoadReportToAll(currentLoad(aNow));
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
    mLinks.recordMessage(aFrom, message->mapRevision, message->sendTime, aNow);
    if (message->kind == MessageKind::Probe) {
      mLinks.sendLoadReport(aFrom, currentLoad(aNow));
      return;
    }
    const auto body = aData.subspan(message->size());
    if (message->kind == MessageKind::OwnerQuery) {
      replyToOwnerQuery(aFrom, *message, body, aNow);
      return;
    }
    if (message->kind == MessageKind::StoreOwnerHint) {
      storeOwnerHint(body, aNow);
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
      rejectPacket(aFrom, *packet, RejectReason::WrongService, aNow);
      return;
    }
    if (packet->isSyn()) {
      handleSyn(aFrom, *message, *packet, aNow);
    } else {
      handleNonSyn(aFrom, *message, *packet, aNow);
    }
  }

  /** Handles one packet from the backend server. */
  void handleTargetPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    resetUnansweredSyns();
    if (packet->isReturned()) {
      rejectReturnedPacket(*packet, aNow);
      return;
    }
    const auto flow = packet->flowFromBackend();
    updateFlow(*packet, flow, aNow);
    mOutput.sendToCaller(flow.caller, aData);
    mCounters.increment(SteeringCounter::PacketsToCallers);
  }

  /**
   * Rejects SYNs that were not answered in time, removes expired requests,
   * flows and hints, delivers queued requests and reports load changes.
   */
  void tick(Core::TimePoint aNow)
  {
    rejectUnansweredSyns(aNow);
    mFlows.expire(aNow);
    mHints.removeExpired(aNow);
    for (const auto& key : mQueue.takeExpired(aNow)) {
      mFlows.erase(key);
    }
    deliverQueued(aNow);
    mLinks.reportLoadChanges(currentLoad(aNow), aNow);
  }

  /**
   * Time until tick() is due; std::nullopt if no SYN is pending and no request
   * is queued.
   */
  std::optional<std::chrono::milliseconds> timeUntilTick() const
  {
    if (mPendingSyns.empty() && mQueue.isEmpty()) {
      return std::nullopt;
    }
    return kSynTimeout / 2;
  }

private:
  using PacketType = typename Format::Packet;
  using Bytes = std::vector<std::uint8_t>;

  /** A SYN that the backend server has not answered yet. */
  struct PendingSyn
  {
    Core::Endpoint balancer;
    Core::TimePoint sentAt{};
    Bytes packet;
  };

  void handleSyn(const Core::Endpoint& aFrom,
                 const AgentMessage& aMessage,
                 const PacketType& aPacket,
                 Core::TimePoint aNow)
  {
    const auto key = aPacket.flowFromCaller();
    const bool isKnownFlow = mFlows.find(key) != nullptr;
    if (!isKnownFlow) {
      const auto reason = admissionResult(aMessage, aNow);
      if (reason != RejectReason::None) {
        if (reason == RejectReason::Full) {
          mLinks.markAwaitingSlot(aFrom);
        }
        mEvents.write(Telemetry::Event::FlowTurnedAway, [&] {
          return flowFields(key, aNow)
            .add("why", nameOf(reason))
            .add("waitedMs", aMessage.age);
        });
        rejectPacket(aFrom, aPacket, reason, aNow);
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
    flow.wantsOwnerNotice = true;
    flow.waitingSince = aNow - aMessage.age;
    flow.requestClass = requestClassOf(aMessage);
    mFlows.setLongLived(flow, aMessage.isLongLived);
    if (!isLate(aMessage)) {
      mFlows.expectRequest(key, flow, aNow);
    }
    if (!flow.isOpen()) {
      const auto bytes = aPacket.bytes();
      mPendingSyns[key] = { aFrom, aNow, Bytes(bytes.begin(), bytes.end()) };
    }
    deliver(aFrom, aPacket);
  }

  static RequestClass requestClassOf(const AgentMessage& aMessage)
  {
    constexpr unsigned kObjectiveBits = 16;
    return (RequestClass{ aMessage.priority } << kObjectiveBits) |
           toUint16(static_cast<std::uint32_t>(
             std::max<std::chrono::milliseconds::rep>(
               aMessage.latencyObjective.count(), 0)));
  }

  static bool isLate(const AgentMessage& aMessage)
  {
    return aMessage.age >= aMessage.latencyObjective;
  }

  /**
   * Stores which other agent owns a flow, for later owner queries of balancers.
   */
  void storeOwnerHint(absl::Span<const std::uint8_t> aBody,
                      Core::TimePoint aNow)
  {
    const auto hint = OwnerHint::parse(aBody);
    if (!hint.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mHints.store(hint->flow, hint->agent, aNow);
  }

  /**
   * Replies with an owner notice, an owner hint, or that it knows no owner if
   * that is requested.
   */
  void replyToOwnerQuery(const Core::Endpoint& aFrom,
                         const AgentMessage& aMessage,
                         absl::Span<const std::uint8_t> aBody,
                         Core::TimePoint aNow)
  {
    const auto query = OwnerNotice::parse(aBody);
    if (!query.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    const auto* flow = mFlows.find(query->flow);
    if (flow != nullptr && flow->isOpen()) {
      sendOwnerNotice(aFrom, query->flow, 0, aNow);
      return;
    }
    const auto load = currentLoad(aNow);
    const auto owner = mHints.find(query->flow);
    if (!owner.isNull()) {
      mLinks.sendOwnerHint(aFrom, { query->flow, owner }, load);
    }
    if (!aMessage.wantsUnknownFlowReply) {
      return;
    }
    const bool isUnknown = flow == nullptr && load.hasFullHistory;
    mLinks.sendUnknownFlowReply(aFrom,
                                query->flow,
                                isUnknown ? RejectReason::UnknownFlow
                                          : RejectReason::None,
                                load);
  }

  /** RejectReason::None if a new flow is admitted. */
  RejectReason admissionResult(const AgentMessage& aMessage,
                               Core::TimePoint aNow)
  {
    if (mIsDraining) {
      return RejectReason::Draining;
    }
    if (mUnansweredSyns >= kUnresponsiveThreshold) {
      if (aNow - mLastRetryAt < kUnresponsiveRetryInterval) {
        return RejectReason::Unresponsive;
      }
      mLastRetryAt = aNow;
      return RejectReason::None;
    }
    return hasCapacity(aMessage, aNow) ? RejectReason::None
                                       : RejectReason::Full;
  }

  /** True if a request of the flow would get a slot in time. */
  bool hasCapacity(const AgentMessage& aMessage, Core::TimePoint aNow) const
  {
    const auto onTime = mFlows.inProgress() + mQueue.onTimeCount(aNow);
    if (!isLate(aMessage)) {
      return estimatedQueueTime(onTime, mSlots, mFlows.serviceTime()) <=
             maxQueueTime(aMessage.latencyObjective);
    }
    const auto allRequests =
      mFlows.inProgress() + static_cast<std::uint32_t>(mQueue.size());
    return estimatedQueueTime(allRequests, mSlots, mFlows.serviceTime()) +
             aMessage.age <
           aMessage.timeout;
  }

  void handleNonSyn(const Core::Endpoint& aFrom,
                    const AgentMessage& aMessage,
                    const PacketType& aPacket,
                    Core::TimePoint aNow)
  {
    const auto key = aPacket.flowFromCaller();
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    flow.requestClass = requestClassOf(aMessage);
    if (aMessage.wantsOwnerNotice && flow.isConfirmed) {
      sendOwnerNotice(flow.balancer, key, 0, aNow);
    } else {
      flow.wantsOwnerNotice |= aMessage.wantsOwnerNotice;
    }
    if (aPacket.isReset()) {
      mQueue.erase(key);
      mFlows.markEnded(flow);
    } else if (aPacket.hasPayload() && !flow.isEnded) {
      mFlows.setLongLived(flow, aMessage.isLongLived);
      handleData(aFrom, aMessage, aPacket, flow, aNow);
      return;
    } else if (aPacket.isFin() && flow.request == RequestState::Queued) {
      // The FIN must not overtake the queued request.
      mQueue.appendPacket(key, copyBytes(aPacket));
      return;
    }
    deliver(aFrom, aPacket);
  }

  /** Delivers data of a request, or queues the request until a slot is free. */
  void handleData(const Core::Endpoint& aFrom,
                  const AgentMessage& aMessage,
                  const PacketType& aPacket,
                  TargetFlow& aFlow,
                  Core::TimePoint aNow)
  {
    const bool isNewData = mFlows.recordCallerData(aFlow, aPacket.sequence());
    if (aFlow.request == RequestState::Queued) {
      if (isNewData) {
        mQueue.appendPacket(aPacket.flowFromCaller(), copyBytes(aPacket));
      }
      return;
    }
    const bool startsRequest =
      isNewData && aFlow.request != RequestState::Delivered;
    // Only requests of confirmed flows are queued. Other data must reach the
    // backend server, which returns it if it does not own the flow.
    if (startsRequest && aFlow.isConfirmed && !hasFreeSlot()) {
      enqueue(aMessage, aPacket, aFlow, aNow);
      return;
    }
    if (startsRequest) {
      mFlows.markDelivered(aFlow, aNow);
    }
    deliver(aFrom, aPacket);
  }

  bool hasFreeSlot() const
  {
    return mFlows.delivered() < mSlots + kPrefetchedRequests;
  }

  void enqueue(const AgentMessage& aMessage,
               const PacketType& aPacket,
               TargetFlow& aFlow,
               Core::TimePoint aNow)
  {
    // The waiting time includes the connection setup only for the first request
    // of a flow.
    const bool isFirstRequest = aFlow.waitingSince != Core::TimePoint{};
    QueuedRequest request;
    request.flow = aPacket.flowFromCaller();
    request.waitingSince = isFirstRequest ? aFlow.waitingSince : aNow;
    request.lateAt = request.waitingSince + aMessage.latencyObjective;
    request.expiresAt = request.waitingSince + aMessage.timeout;
    request.packets.push_back(copyBytes(aPacket));
    mQueue.add(std::move(request));
    mFlows.markQueued(aFlow);
    mCounters.increment(SteeringCounter::RequestsHeld);
    mEvents.write(Telemetry::Event::RequestHeld,
                  [&] { return flowFields(aPacket.flowFromCaller(), aNow); });
  }

  /** Delivers queued requests while slots are free. */
  void deliverQueued(Core::TimePoint aNow)
  {
    while (hasFreeSlot() && !mQueue.isEmpty()) {
      const auto request = mQueue.takeNext(aNow);
      auto& flow = mFlows.touch(request->flow, aNow);
      mFlows.markDelivered(flow, aNow);
      for (const auto& bytes : request->packets) {
        const auto packet = Format::parse(bytes);
        if (packet.ok()) {
          deliver(flow.balancer, *packet);
        }
      }
    }
  }

  static Bytes copyBytes(const PacketType& aPacket)
  {
    const auto bytes = aPacket.bytes();
    return Bytes(bytes.begin(), bytes.end());
  }

  void updateFlow(const PacketType& aPacket,
                  const Packet::FlowKey& aKey,
                  Core::TimePoint aNow)
  {
    auto& flow = mFlows.touch(aKey, aNow);
    if (aPacket.isReset()) {
      mQueue.erase(aKey);
      mFlows.markEnded(flow);
      mPendingSyns.erase(aKey);
      deliverQueued(aNow);
      return;
    }
    flow.isConfirmed = true;
    if (aPacket.hasPayload()) {
      flow.waitingSince = {};
      recordAnswer(flow, aKey, aNow);
      deliverQueued(aNow);
      if (mFlows.inProgress() < mSlots) {
        mLinks.notifyNextAwaitingSlot(currentLoad(aNow));
      }
    }
    if (aPacket.isSynAck()) {
      mPendingSyns.erase(aKey);
    }
    if (std::exchange(flow.wantsOwnerNotice, false)) {
      const auto sequence = aPacket.isSynAck() ? aPacket.sequence() : 0;
      sendOwnerNotice(flow.balancer, aKey, sequence, aNow);
    }
    if (aPacket.isFin()) {
      mQueue.erase(aKey);
      mFlows.markEnded(flow);
      deliverQueued(aNow);
    }
  }

  void recordAnswer(TargetFlow& aFlow,
                    const Packet::FlowKey& aKey,
                    Core::TimePoint aNow)
  {
    if (aFlow.request != RequestState::Delivered) {
      return;
    }
    const auto elapsed = aNow - aFlow.deliveredAt;
    mFlows.recordAnswer(aFlow, aNow);
    mHistograms.add(mConfig.service,
                    "class",
                    aFlow.isLongLived ? "many-requests" : "one-request",
                    elapsed);
    mEvents.write(Telemetry::Event::RequestAnswered, [&] {
      return flowFields(aKey, aNow)
        .add("takenMs",
             std::chrono::duration_cast<std::chrono::milliseconds>(elapsed));
    });
  }

  /** Common fields of all events about a flow, with the agent's load. */
  Telemetry::EventFields flowFields(const Packet::FlowKey& aFlow,
                                    Core::TimePoint aNow) const
  {
    Telemetry::EventFields fields;
    fields.flow(flowHash(aFlow))
      .add("caller", Core::formatEndpoint(aFlow.caller))
      .add("service", Core::formatEndpoint(aFlow.service))
      .add("delivered", mFlows.delivered())
      .add("expected", mFlows.inProgress() - mFlows.delivered())
      .add("waitingFresh", mQueue.onTimeCount(aNow))
      .add("waiting", mQueue.size())
      .add("slots", mSlots);
    return fields;
  }

  /**
   * Removes the flow of a returned packet and rejects the packet: the backend
   * server does not own the flow, or refused the SYN.
   */
  void rejectReturnedPacket(const PacketType& aPacket, Core::TimePoint aNow)
  {
    const auto balancer = mLinks.endpointOf(aPacket.returnToken());
    const auto flow = aPacket.flowFromCaller();
    const auto* knownFlow = mFlows.find(flow);
    // A late copy of a SYN says nothing about the open flow.
    const bool isLateSyn =
      aPacket.isSyn() && knownFlow != nullptr && knownFlow->isOpen();
    if (knownFlow != nullptr && !aPacket.isSyn()) {
      mFlows.recordReturned(*knownFlow);
    }
    if (!isLateSyn) {
      mQueue.erase(flow);
      mFlows.erase(flow);
    }
    mPendingSyns.erase(flow);
    if (balancer.isNull()) {
      mCounters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    const auto reason =
      aPacket.isSyn() ? RejectReason::Refused : RejectReason::UnknownFlow;
    mEvents.write(Telemetry::Event::FlowNotHeld, [&] {
      return flowFields(flow, aNow).add("why", nameOf(reason));
    });
    rejectPacket(balancer, aPacket, reason, aNow);
  }

  void rejectUnansweredSyns(Core::TimePoint aNow)
  {
    for (auto it = mPendingSyns.begin(); it != mPendingSyns.end();) {
      if (aNow - it->second.sentAt < kSynTimeout) {
        ++it;
        continue;
      }
      mCounters.increment(SteeringCounter::OpeningsUnanswered);
      if (++mUnansweredSyns == kUnresponsiveThreshold) {
        mLastRetryAt = aNow;
        mEvents.write(Telemetry::Event::TargetSilent,
                      "SYN packets were not answered in time");
      }
      const auto pending = std::move(it->second);
      mFlows.erase(it->first);
      mPendingSyns.erase(it++);
      const auto packet = Format::parse(pending.packet);
      if (packet.ok()) {
        rejectPacket(
          pending.balancer, *packet, RejectReason::Unresponsive, aNow);
      }
    }
  }

  void resetUnansweredSyns()
  {
    if (mUnansweredSyns >= kUnresponsiveThreshold) {
      mEvents.write(Telemetry::Event::TargetAnswers,
                    "the backend server answers again");
    }
    mUnansweredSyns = 0;
  }

  void deliver(const Core::Endpoint& aFrom, const PacketType& aPacket)
  {
    const auto bytes = aPacket.bytes();
    mBuffer.assign(bytes.begin(), bytes.end());
    Format::setReturnToken(absl::MakeSpan(mBuffer), mLinks.tokenOf(aFrom));
    mOutput.deliver(mBuffer);
    mCounters.increment(SteeringCounter::PacketsDelivered);
  }

  void rejectPacket(const Core::Endpoint& aTo,
                    const PacketType& aPacket,
                    RejectReason aReason,
                    Core::TimePoint aNow)
  {
    mLinks.rejectPacket(aTo, aPacket, aReason, currentLoad(aNow));
  }

  void sendOwnerNotice(const Core::Endpoint& aTo,
                       const Packet::FlowKey& aFlow,
                       std::uint32_t aSequence,
                       Core::TimePoint aNow)
  {
    mLinks.sendOwnerNotice(aTo, aFlow, aSequence, currentLoad(aNow));
  }

  ReportedLoad currentLoad(Core::TimePoint aNow) const
  {
    const auto onTime = mQueue.onTimeCount(aNow);
    ReportedLoad load;
    load.inProgress = toUint16(mFlows.inProgress() + onTime);
    load.lateRequests =
      toUint16(static_cast<std::uint32_t>(mQueue.size()) - onTime);
    load.longLivedFlows = toUint16(mFlows.longLivedFlows());
    load.serviceTime = mFlows.reportedServiceTime();
    load.hasFullHistory = aNow - mStartedAt >= TargetFlowTable::kIdleTimeout;
    load.isUnavailable =
      mIsDraining || mUnansweredSyns >= kUnresponsiveThreshold;
    return load;
  }

  static std::uint16_t toUint16(std::uint32_t aValue)
  {
    constexpr std::uint32_t kMax = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(aValue, kMax));
  }

  Output& mOutput;
  SteeringCounters mCounters;
  BalancerLinks<Format, Output> mLinks;
  AgentConfig mConfig;
  std::uint32_t mServiceTag;
  Telemetry::EventLog& mEvents;
  Telemetry::HistogramSet& mHistograms;
  Core::TimePoint mStartedAt;
  TargetFlowTable mFlows;
  OwnerHints mHints;
  RequestQueue mQueue;
  absl::flat_hash_map<Packet::FlowKey, PendingSyn> mPendingSyns;
  std::uint32_t mSlots = 1;
  int mUnansweredSyns = 0;
  Core::TimePoint mLastRetryAt{};
  bool mIsDraining = false;
  Bytes mBuffer;
};

} // namespace Steering
