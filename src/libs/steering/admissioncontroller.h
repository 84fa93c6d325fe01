#pragma once

#include "steering/agentmessage.h"
#include "steering/agentreport.h"
#include "steering/balancerlinks.h"
#include "steering/evacuationstate.h"
#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/outlierdetector.h"
#include "steering/ownerhints.h"
#include "steering/packetformat.h"
#include "steering/queuetime.h"
#include "steering/requestqueue.h"
#include "steering/slowstartlimiter.h"
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
#include <map>
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
    , mSlowStart(aNow)
    , mReport(mCounters)
    , mNow(aNow)
  {
  }
  AdmissionController(const AdmissionController&) = delete;
  AdmissionController& operator=(const AdmissionController&) = delete;

  const SteeringCounters& counters() const { return mCounters; }
  std::size_t openFlows() const { return mFlows.size(); }
  std::uint32_t inProgress() const { return mFlows.inProgress(); }
  std::size_t queuedRequests() const { return mQueue.size(); }
  /** May be called by any thread. */
  EvacuationStatus evacuation() const { return mEvacuation.status(); }

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
    mNow = aNow;
    mCounters.increment(SteeringCounter::PacketsReceived);
    mFlows.expire(aNow);
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mLinks.recordMessage(aFrom, message->mapRevision, message->sendTime, aNow);
    updateEvacuation(*message);
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
    learnSlowStart(*message, aNow);
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
    mNow = aNow;
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
    mNow = aNow;
    rejectUnansweredSyns(aNow);
    mFlows.expire(aNow);
    mHints.removeExpired(aNow);
    forgetExpired(aNow);
    deliverQueued(aNow);
    if (mSlowStart.isActive(aNow) && canTakeNewFlow(aNow)) {
      mLinks.notifyNextAwaitingSlot(currentLoad(aNow));
    }
    mLinks.reportLoadChanges(currentLoad(aNow), aNow);
    mReport.tick({ mFlows.delivered(),
                   mFlows.inProgress() - mFlows.delivered(),
                   mQueue.size(),
                   mSlots,
                   mFlows.serviceTime() },
                 mEvents,
                 aNow);
  }

  /**
   * Called when the packets of the last calls have been sent, which is later
   * than the time of these calls if the process was suspended meanwhile.
   */
  void recordSent(Core::TimePoint aNow) { mSlowStart.move(mNow, aNow); }

  /**
   * Time from the last call until tick() is due; std::nullopt if no SYN is
   * pending, no request is queued and no slow start is limited.
   */
  std::optional<std::chrono::milliseconds> timeUntilTick() const
  {
    const auto slowStartTime = mSlowStart.timeUntilChange(mNow);
    if (mPendingSyns.empty() && mQueue.isEmpty() && mGivenUpRequests.empty()) {
      return slowStartTime;
    }
    const std::chrono::milliseconds interval = kSynTimeout / 2;
    return std::min(slowStartTime.value_or(interval), interval);
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

  void updateEvacuation(const AgentMessage& aMessage)
  {
    if (!mEvacuation.update(aMessage.mapRevision, aMessage.isZoneEvacuated)) {
      return;
    }
    mEvents.write(aMessage.isZoneEvacuated ? Telemetry::Event::ZoneEvacuated
                                           : Telemetry::Event::ZoneReturned,
                  [&] {
                    return Telemetry::EventFields().add(
                      "revision", formatMapRevision(aMessage.mapRevision));
                  });
  }
  /** A flow that was admitted and has not sent its first request yet. */
  struct ExpectedRequest
  {
    Packet::FlowKey flow;
    std::uint8_t priority = 0;
  };

  void handleSyn(const Core::Endpoint& aFrom,
                 const AgentMessage& aMessage,
                 const PacketType& aPacket,
                 Core::TimePoint aNow)
  {
    recordPriority(aMessage.priority);
    const auto key = aPacket.flowFromCaller();
    forgetEarlierFlow(aPacket, key, aNow);
    const bool isKnownFlow = mFlows.find(key) != nullptr;
    if (!isKnownFlow) {
      const auto reason = admissionResult(aMessage, aNow);
      if (reason != RejectReason::None) {
        recordRejectedFlow(aFrom, reason);
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
    if (!isKnownFlow) {
      takeSlowStartPlace(flow, aNow);
    }
    flow.requestClass = requestClassOf(aMessage);
    flow.callerSequence.record(aPacket);
    mFlows.setLongLived(flow, aMessage.isLongLived);
    if (waitingRequest(aMessage, aNow - aMessage.age).isOnTime(aNow)) {
      mFlows.expectRequest(key, flow, aNow);
      rememberExpected(key, aMessage.priority);
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

  /**
   * A SYN from the port of an earlier flow opens a new one, which must not take
   * over the admission or the request of the earlier one.
   */
  void forgetEarlierFlow(const PacketType& aPacket,
                         const Packet::FlowKey& aKey,
                         Core::TimePoint aNow)
  {
    const auto* flow = mFlows.find(aKey);
    if (flow == nullptr) {
      return;
    }
    // A backend server may take even a late copy for a new flow.
    const bool mayBeTaken = aPacket.retransmissionCount() == 0 ||
                            mEvacuation.isEvacuated() || mIsDraining ||
                            mSlowStart.isActive(aNow);
    if (flow->callerSequence.isOtherFlow(aPacket) ||
        (flow->isEnded && mayBeTaken)) {
      mCounters.increment(SteeringCounter::FlowsReplaced);
      mQueue.erase(aKey);
      mGivenUpRequests.erase(aKey);
      mPendingSyns.erase(aKey);
      mFlows.erase(aKey);
    }
  }

  void recordRejectedFlow(const Core::Endpoint& aFrom, RejectReason aReason)
  {
    const bool isSlowStart = aReason == RejectReason::SlowStartLimit;
    mCounters.increment(SteeringCounter::SlowStartRejects, isSlowStart ? 1 : 0);
    mCounters.increment(SteeringCounter::FlowsTurnedAway,
                        aReason == RejectReason::Full ? 1 : 0);
    mCounters.increment(SteeringCounter::FlowsRejectedEjected,
                        aReason == RejectReason::Ejected ? 1 : 0);
    mCounters.increment(SteeringCounter::OpeningsEvacuated,
                        aReason == RejectReason::Evacuated ? 1 : 0);
    if (isSlowStart || aReason == RejectReason::Full) {
      mLinks.markAwaitingSlot(aFrom);
    }
  }

  void learnSlowStart(const AgentMessage& aMessage, Core::TimePoint aNow)
  {
    if (!mSlowStart.learn(aMessage.slowStart, aMessage.mapRevision, aNow)) {
      return;
    }
    mEvents.write(Telemetry::Event::SlowStartLimited, [&] {
      Telemetry::EventFields fields;
      return fields.add("limit", aMessage.slowStart->limit)
        .add("leftMs", aMessage.slowStart->remaining)
        .add("free", mSlowStart.budget(aNow));
    });
  }

  /** Takes a place in the slow-start window for the flow's newest request. */
  void takeSlowStartPlace(TargetFlow& aFlow, Core::TimePoint aNow)
  {
    releaseSlowStartPlace(aFlow);
    mSlowStart.take(aNow);
    aFlow.slowStartPlaceAt = aNow;
  }

  void releaseSlowStartPlace(TargetFlow& aFlow)
  {
    if (aFlow.slowStartPlaceAt != Core::TimePoint{}) {
      mSlowStart.release(aFlow.slowStartPlaceAt);
      aFlow.slowStartPlaceAt = {};
    }
  }

  bool hasSlowStartPlace(const TargetFlow& aFlow, Core::TimePoint aNow) const
  {
    const bool isPlaceUsed = aFlow.slowStartPlaceAt != Core::TimePoint{} &&
                             mSlowStart.isUsed(aFlow.slowStartPlaceAt, aNow);
    return isPlaceUsed || mSlowStart.budget(aNow) > 0;
  }

  /**
   * Places of the slow-start window for new flows: queued requests take theirs
   * first.
   */
  std::uint32_t slowStartBudget(Core::TimePoint aNow) const
  {
    const auto budget = mSlowStart.budget(aNow);
    return budget == SlowStartLimiter::kUnlimited
             ? budget
             : budget - std::min(budget, mQueue.openCount());
  }

  bool canTakeNewFlow(Core::TimePoint aNow) const
  {
    return mFlows.inProgress() < mOutliers.usableSlots(mSlots) &&
           slowStartBudget(aNow) > 0;
  }

  bool hasPriorities() const { return mMostUrgent < mLeastUrgent; }

  /** Classes are told apart once two priorities have been seen. */
  void recordPriority(std::uint8_t aPriority)
  {
    mMostUrgent = std::min(mMostUrgent, aPriority);
    mLeastUrgent = std::max(mLeastUrgent, aPriority);
  }

  /**
   * The service time is taken into account only if the service has requests of
   * several priorities.
   */
  WaitingRequest waitingRequest(const AgentMessage& aMessage,
                                Core::TimePoint aWaitingSince) const
  {
    WaitingRequest request;
    request.priority = aMessage.priority;
    request.waitingSince = aWaitingSince;
    request.lateAt = aWaitingSince + aMessage.latencyObjective;
    request.expiresAt = aWaitingSince + aMessage.timeout;
    if (hasPriorities()) {
      request.serviceTime = ServiceOrder::expectedServiceTime(
        mFlows.serviceTime(), aMessage.latencyObjective);
    }
    return request;
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
    if (flow != nullptr && query->sequence != 0 &&
        !flow->callerSequence.mayContain(query->sequence)) {
      // The record is of another flow from the caller's port.
      flow = nullptr;
    }
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
    if (mEvacuation.isEvacuated()) {
      return RejectReason::Evacuated;
    }
    if (slowStartBudget(aNow) == 0) {
      return RejectReason::SlowStartLimit;
    }
    if (mUnansweredSyns >= kUnresponsiveThreshold) {
      if (aNow - mLastRetryAt < kUnresponsiveRetryInterval) {
        return RejectReason::Unresponsive;
      }
      mLastRetryAt = aNow;
      return RejectReason::None;
    }
    const bool isProbeNeeded =
      mOutliers.isEjected() &&
      (mOutliers.isDown() || !aMessage.ignoresEjection);
    if (isProbeNeeded && !mOutliers.takeProbe(aMessage.isIdempotent, aNow)) {
      return RejectReason::Ejected;
    }
    return hasCapacity(aMessage, aNow) ? RejectReason::None
                                       : RejectReason::Full;
  }

  /**
   * True if a request of the flow would get a slot in time. Less urgent
   * requests that have no slot yet do not count.
   */
  bool hasCapacity(const AgentMessage& aMessage, Core::TimePoint aNow)
  {
    const auto request = waitingRequest(aMessage, aNow - aMessage.age);
    const auto ahead = mFlows.inProgress() -
                       lessUrgentExpected(aMessage.priority) +
                       mQueue.countAhead(request, aNow);
    const auto queueTime = estimatedQueueTime(
      ahead, mOutliers.usableSlots(mSlots), mFlows.serviceTime());
    return request.isOnTime(aNow) ? queueTime <= maxQueueTimeOf(aMessage, aNow)
                                  : request.isAnswerable(aNow + queueTime);
  }

  /**
   * Maximum queue time of a request that is on time. With priorities, or while
   * late requests are queued, requests are admitted as long as an answer on
   * time is likely: within the rest of the objective less the reserve. A
   * rejected one would leave late requests the next free slot, or wait at its
   * balancer while other servers are as busy.
   */
  std::chrono::milliseconds maxQueueTimeOf(const AgentMessage& aMessage,
                                           Core::TimePoint aNow) const
  {
    const auto limit = maxQueueTime(aMessage.latencyObjective);
    if (mQueue.onTimeCount(aNow) == mQueue.openCount() && !hasPriorities()) {
      return limit;
    }
    return std::max(limit,
                    aMessage.latencyObjective - aMessage.age -
                      ServiceOrder::kOnTimeReserve * mFlows.serviceTime());
  }

  void rememberExpected(const Packet::FlowKey& aFlow, std::uint8_t aPriority)
  {
    const bool isRemembered = std::any_of(
      mExpectedRequests.begin(),
      mExpectedRequests.end(),
      [&aFlow](const auto& aExpected) { return aExpected.flow == aFlow; });
    if (!isRemembered) {
      mExpectedRequests.push_back({ aFlow, aPriority });
    }
  }

  /**
   * Number of admitted flows of less urgent classes whose first request has not
   * arrived yet. Their requests will be served after those of aPriority.
   */
  std::uint32_t lessUrgentExpected(std::uint8_t aPriority)
  {
    std::erase_if(mExpectedRequests, [this](const auto& aExpected) {
      const auto* flow = mFlows.find(aExpected.flow);
      return flow == nullptr || flow->request != RequestState::Expected;
    });
    return static_cast<std::uint32_t>(
      std::count_if(mExpectedRequests.begin(),
                    mExpectedRequests.end(),
                    [aPriority](const auto& aExpected) {
                      return aExpected.priority > aPriority;
                    }));
  }

  void handleNonSyn(const Core::Endpoint& aFrom,
                    const AgentMessage& aMessage,
                    const PacketType& aPacket,
                    Core::TimePoint aNow)
  {
    const auto key = aPacket.flowFromCaller();
    const auto* knownFlow = mFlows.find(key);
    if (knownFlow != nullptr && knownFlow->isEnded &&
        knownFlow->callerSequence.isOtherFlow(aPacket)) {
      // The caller uses the port again, and its new flow is at another target.
      // The backend server would reset it.
      rejectPacket(aFrom, aPacket, RejectReason::UnknownFlow, aNow);
      return;
    }
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    flow.requestClass = requestClassOf(aMessage);
    flow.callerSequence.record(aPacket);
    if (aMessage.wantsOwnerNotice && flow.isConfirmed) {
      sendOwnerNotice(flow.balancer, key, 0, aNow);
    } else {
      flow.wantsOwnerNotice |= aMessage.wantsOwnerNotice;
    }
    if (aPacket.isFin()) {
      flow.hasCallerClosed = true;
      mQueue.markCallerClosed(key);
    }
    if (aPacket.isReset()) {
      mQueue.erase(key);
      mFlows.markReset(flow);
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
    if (!isNewData && mGivenUpRequests.contains(aPacket.flowFromCaller())) {
      return;
    }
    const bool startsRequest =
      isNewData && aFlow.request != RequestState::Delivered;
    if (startsRequest) {
      mGivenUpRequests.erase(aPacket.flowFromCaller());
    }
    if (startsRequest && mustWait(aFlow, aNow)) {
      enqueue(aMessage, aPacket, aFlow, aNow);
      return;
    }
    if (startsRequest) {
      takeSlowStartPlace(aFlow, aNow);
      mFlows.markDelivered(aPacket.flowFromCaller(), aFlow, mSlots, aNow);
    }
    deliver(aFrom, aPacket);
  }

  /**
   * Only requests of confirmed flows wait for a slot. Other data must reach the
   * backend server, which returns it if it does not own the flow. It waits for
   * the slow-start window only, since an agent that has restarted cannot tell
   * it from a request.
   */
  bool mustWait(const TargetFlow& aFlow, Core::TimePoint aNow)
  {
    if (!hasSlowStartPlace(aFlow, aNow)) {
      mCounters.increment(SteeringCounter::SlowStartWaits);
      return true;
    }
    return aFlow.isConfirmed && !hasFreeSlot();
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
    recordPriority(aMessage.priority);
    request.waiting =
      waitingRequest(aMessage, isFirstRequest ? aFlow.waitingSince : aNow);
    request.hasCallerClosed = aFlow.hasCallerClosed;
    request.packets.push_back(copyBytes(aPacket));
    mQueue.add(std::move(request));
    mFlows.markQueued(aFlow);
    releaseSlowStartPlace(aFlow);
    mCounters.increment(SteeringCounter::RequestsHeld);
    mEvents.write(Telemetry::Event::RequestHeld,
                  [&] { return flowFields(aPacket.flowFromCaller(), aNow); });
  }

  /**
   * Removes the queued requests that cannot be answered before their callers
   * give up. Their flows stay open until then, since a caller whose flow is
   * reset does not learn whether its request ran.
   */
  void giveUpUnanswerable(Core::TimePoint aNow)
  {
    for (const auto& request : mQueue.takeUnanswerable(aNow)) {
      mCounters.increment(SteeringCounter::RequestsGivenUp);
      mEvents.write(Telemetry::Event::RequestGivenUp, [&] {
        return flowFields(request.flow, aNow)
          .add("waitedMs",
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 aNow - request.waiting.waitingSince));
      });
      auto* flow = mFlows.find(request.flow);
      if (flow != nullptr) {
        flow->request = RequestState::None;
      }
      mGivenUpRequests[request.flow] = request.waiting.expiresAt;
    }
  }

  /**
   * Forgets given-up requests once their callers should have left. The flows
   * stay, since the backend server holds them, and a caller may wait longer
   * than the timeout of the route. A caller that has closed retransmits its
   * request with its FIN for a while; without the entry, it would count as a
   * new request and be delivered.
   */
  void forgetExpired(Core::TimePoint aNow)
  {
    giveUpUnanswerable(aNow);
    absl::erase_if(mGivenUpRequests, [this, aNow](const auto& aEntry) {
      auto* flow = mFlows.find(aEntry.first);
      const auto retention = flow != nullptr && flow->hasCallerClosed
                               ? TargetFlowTable::kEndedFlowRetention
                               : std::chrono::seconds(0);
      const bool hasExpired = aNow >= aEntry.second + retention;
      if (hasExpired && flow != nullptr &&
          flow->request == RequestState::None) {
        mFlows.forgetRequest(*flow);
      }
      return hasExpired;
    });
  }

  /**
   * Delivers queued requests while slots are free and the slow-start window has
   * room.
   */
  void deliverQueued(Core::TimePoint aNow)
  {
    giveUpUnanswerable(aNow);
    while (!mQueue.isEmpty() && hasFreeSlot() && mSlowStart.budget(aNow) > 0) {
      const auto request = mQueue.takeNext(aNow);
      auto& flow = mFlows.touch(request->flow, aNow);
      takeSlowStartPlace(flow, aNow);
      mFlows.markDelivered(request->flow, flow, mSlots, aNow);
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
    recordFailure(aPacket, flow, aKey, aNow);
    if (aPacket.isReset()) {
      mQueue.erase(aKey);
      mFlows.markReset(flow);
      mPendingSyns.erase(aKey);
      deliverQueued(aNow);
      return;
    }
    flow.isConfirmed = true;
    if (aPacket.hasPayload() || isCloseAfterAnswer(aPacket, flow)) {
      flow.answerSequence.reset();
      flow.waitingSince = {};
      flow.slowStartPlaceAt = {};
      recordAnswer(flow, aKey, aNow);
      deliverQueued(aNow);
      if (canTakeNewFlow(aNow)) {
        mLinks.notifyNextAwaitingSlot(currentLoad(aNow));
      }
    }
    if (aPacket.isSynAck()) {
      mPendingSyns.erase(aKey);
      // The SYN has a sequence number of its own.
      flow.answerSequence = aPacket.sequence() + 1;
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

  /**
   * Records a failure if a packet of the backend server ends a flow whose
   * request it has not answered, unless the caller has closed before. Resets by
   * callers are not passed to it.
   */
  void recordFailure(const PacketType& aPacket,
                     const TargetFlow& aFlow,
                     const Packet::FlowKey& aKey,
                     Core::TimePoint aNow)
  {
    const bool isRequestUnanswered = aFlow.request == RequestState::Delivered;
    const bool isSynUnanswered =
      aFlow.request == RequestState::Expected || mPendingSyns.contains(aKey);
    const bool isFailure =
      aPacket.isReset()
        ? isRequestUnanswered || isSynUnanswered
        : isRequestUnanswered && isCloseWithoutAnswer(aPacket, aFlow);
    if (!isFailure || aFlow.hasCallerClosed) {
      return;
    }
    mCounters.increment(SteeringCounter::RequestsFailed);
    if (mOutliers.recordFailure(aNow)) {
      mCounters.increment(SteeringCounter::TargetsEjected);
      mEvents.write(Telemetry::Event::TargetEjected, [&] {
        return flowFields(aKey, aNow)
          .add("why", aPacket.isReset() ? "reset" : "closed")
          .add("requestDelivered", isRequestUnanswered);
      });
      mLinks.sendLoadReportToAll(currentLoad(aNow));
    }
  }

  /**
   * Whether a FIN shows that the backend server sent no byte before. A FIN may
   * also overtake the answer.
   */
  static bool isCloseWithoutAnswer(const PacketType& aPacket,
                                   const TargetFlow& aFlow)
  {
    return aPacket.isFin() && !aPacket.hasPayload() &&
           aFlow.answerSequence == aPacket.sequence();
  }

  /**
   * Whether a FIN shows that the backend server sent its answer before. If the
   * agent has not seen the SYN-ACK, it cannot tell that from a FIN in reply to
   * the caller's.
   */
  static bool isCloseAfterAnswer(const PacketType& aPacket,
                                 const TargetFlow& aFlow)
  {
    const bool isReply = aFlow.hasCallerClosed && !aFlow.answerSequence;
    return aPacket.isFin() && !isReply && !isCloseWithoutAnswer(aPacket, aFlow);
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
    endEjection(aNow);
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

  /** The backend server has answered a request. */
  void endEjection(Core::TimePoint aNow)
  {
    const bool wasEjected = mOutliers.isEjected();
    mOutliers.recordAnswer(mSlots);
    if (wasEjected) {
      mEvents.write(Telemetry::Event::TargetReturned,
                    "the backend server answered a request");
      mLinks.sendLoadReportToAll(currentLoad(aNow));
    }
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
    auto* knownFlow = mFlows.find(flow);
    if (knownFlow != nullptr && !aPacket.isSyn()) {
      // The backend server did not run the request.
      releaseSlowStartPlace(*knownFlow);
    }
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
    // Slots that the backend server may not use yet count as used.
    const auto unusableSlots = mSlots - mOutliers.usableSlots(mSlots);
    load.inProgress = toUint16(mFlows.inProgress() + onTime + unusableSlots);
    load.lateRequests = toUint16(mQueue.openCount() - onTime);
    load.longLivedFlows = toUint16(mFlows.longLivedFlows());
    load.serviceTime = mFlows.reportedServiceTime();
    load.history =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mStartedAt);
    load.hasFullHistory = load.history >= ReportedLoad::kFullHistoryTime;
    load.isUnavailable = mIsDraining || mEvacuation.isEvacuated() ||
                         mUnansweredSyns >= kUnresponsiveThreshold ||
                         mOutliers.isDown();
    load.isEjected = mOutliers.isEjected();
    if (mSlowStart.isActive(aNow)) {
      load.slowStartBudget = toUint16(slowStartBudget(aNow));
    }
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
  SlowStartLimiter mSlowStart;
  OutlierDetector mOutliers;
  AgentReport mReport;
  /** Time of the last call. */
  Core::TimePoint mNow;
  /** Ordered, so that SYNs are rejected in the same order in each run. */
  std::map<Packet::FlowKey, PendingSyn> mPendingSyns;
  std::vector<ExpectedRequest> mExpectedRequests;
  /** When the callers of requests that are not delivered any more give up. */
  absl::flat_hash_map<Packet::FlowKey, Core::TimePoint> mGivenUpRequests;
  std::uint8_t mMostUrgent = std::numeric_limits<std::uint8_t>::max();
  std::uint8_t mLeastUrgent = 0;
  std::uint32_t mSlots = 1;
  int mUnansweredSyns = 0;
  Core::TimePoint mLastRetryAt{};
  bool mIsDraining = false;
  EvacuationState mEvacuation;
  Bytes mBuffer;
};

} // namespace Steering
