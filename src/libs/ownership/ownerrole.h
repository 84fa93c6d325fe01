#pragma once

#include "ownership/agentcontext.h"
#include "ownership/backendhealth.h"
#include "ownership/exchangetable.h"
#include "ownership/flowtable.h"
#include "ownership/ownernotices.h"
#include "ownership/targetusage.h"
#include "ownership/tcptracking.h"
#include "packet/packetbuilder.h"

#include <chrono>
#include <string>
#include <vector>

namespace Ownership {

/** Result of delivering a packet to a flow that this agent may own. */
enum class DeliveryResult
{
  Delivered,
  NotOwned,
};

/** Result of admitting a flow that was assigned to this agent. */
enum class AdmitResult
{
  Admitted,
  /** No capacity; nothing was or will be delivered. */
  Returned,
  /**
   * The outcome is unknown: another owner is recorded, this agent has rejected
   * the flow before, or it may have run the flow before it restarted.
   */
  Unproven,
};

/**
 * Handles the flows that the target of this agent owns: admission, delivery
 * to the backend server, packets to the caller, and expiry.
 */
template<AgentOutput Output>
class OwnerRole
{
public:
  explicit OwnerRole(AgentContext<Output>& aContext)
    : mContext(aContext)
  {
    mUsage.setStartedAt(aContext.self.startedAt);
  }

  /** Applies the limits in the document of the current view. */
  void activateView(Core::TimePoint aNow)
  {
    const auto& view = *mContext.views.current();
    const auto* targetEntry = view.findTarget(mContext.self.target);
    mIsInDocument = targetEntry != nullptr;
    const bool wasZoneEvacuated = mIsZoneEvacuated;
    mIsZoneEvacuated = mIsInDocument && targetEntry->isZoneEvacuated;
    if (wasZoneEvacuated && !mIsZoneEvacuated) {
      // An empty target is the least utilized one and would get every new flow.
      mUsage.setStartedAt(aNow);
    }
    if (mIsInDocument) {
      mServiceName = view.serviceOfTarget(mContext.self.target)->service->name;
      mUsage.setLimits(view.document(), *targetEntry->target);
    }
  }

  bool owns(const Packet::FlowKey& aFlow)
  {
    return mFlows.find(aFlow) != nullptr;
  }

  std::size_t openFlows() const { return mFlows.openCount(); }
  Load load(Core::TimePoint aNow) const
  {
    auto load = mUsage.load(aNow);
    if (!mHealth.isHealthy(aNow)) {
      load.slots = 0;
      load.connections = 0;
    }
    return load;
  }

  /** True if this target may accept new flows. */
  bool acceptsNewFlows(Core::TimePoint aNow) const
  {
    const auto* targetEntry =
      mContext.views.current()->findTarget(mContext.self.target);
    return mIsInDocument && !mContext.isDraining &&
           targetEntry->acceptsNewFlows() && mHealth.isHealthy(aNow);
  }

  /** True if the flow would be admitted. */
  bool hasCapacity(const IncomingPacket& aIncoming, Core::TimePoint aNow) const
  {
    const auto memberIndex = mUsage.memberIndex(aIncoming.flow.caller.address);
    const auto resource = aIncoming.classView.serviceClass->resource;
    const bool mayClaim =
      !aIncoming.needsClaim() || mayAdmitClaimedFlow(aIncoming, aNow);
    return acceptsNewFlows(aNow) && mayClaim &&
           mUsage.checkCapacity(resource, memberIndex, aNow) ==
             CapacityCheck::Available;
  }

  DeliveryResult deliverIfOwned(const IncomingPacket& aIncoming,
                                Core::TimePoint aNow)
  {
    auto* ownedFlow = mFlows.find(aIncoming.flow);
    if (ownedFlow == nullptr) {
      return DeliveryResult::NotOwned;
    }
    const bool isPortReused =
      aIncoming.packet.isSyn() && ownedFlow->state == FlowState::Ended;
    if (isPortReused) {
      removeFlow(aIncoming.flow);
      return DeliveryResult::NotOwned;
    }
    const bool isNewRequest =
      aIncoming.isUdp() && ownedFlow->state == FlowState::Ended;
    if (mIsZoneEvacuated && isNewRequest && !aIncoming.needsClaim()) {
      // Reopening an ended flow would be new work in the evacuated zone.
      removeFlow(aIncoming.flow);
      return DeliveryResult::NotOwned;
    }
    if (isUnansweredSyn(aIncoming.packet, *ownedFlow) &&
        !mHealth.isHealthy(aNow)) {
      // Only the SYN was delivered, so that another target may own the flow.
      endFlow(*ownedFlow, aNow);
      removeFlow(aIncoming.flow);
      return DeliveryResult::NotOwned;
    }
    if (!matchesHandshake(aIncoming.packet, *ownedFlow)) {
      return DeliveryResult::NotOwned;
    }
    ownedFlow->lastPacketAt = aNow;
    if (aIncoming.needsClaim()) {
      return deliverOnce(aIncoming, *ownedFlow);
    }
    if (aIncoming.isUdp() && !reopenUdpFlow(aIncoming, *ownedFlow, aNow)) {
      return DeliveryResult::Delivered;
    }
    trackCallerPacket(aIncoming.packet, *ownedFlow);
    deliver(aIncoming, *ownedFlow);
    if (ownedFlow->isClosedByCaller && ownedFlow->isClosedByBackend) {
      endFlow(*ownedFlow, aNow);
    }
    return DeliveryResult::Delivered;
  }

  AdmitResult admit(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    if (aIncoming.needsClaim() && !mayAdmitClaimedFlow(aIncoming, aNow)) {
      return AdmitResult::Unproven;
    }
    if (!hasCapacity(aIncoming, aNow)) {
      // A duplicate of the assignment may arrive later and must be rejected.
      const bool isFromOtherHome =
        aIncoming.header.home != mContext.self.target;
      if (aIncoming.needsClaim() && isFromOtherHome) {
        mContext.claims.markRejected(aIncoming.flow, aNow);
      }
      mContext.counters.increment(AgentCounter::FlowsReturned);
      if (mIsZoneEvacuated) {
        mContext.counters.increment(AgentCounter::FlowsReturnedEvacuated);
      }
      return AdmitResult::Returned;
    }
    openFlow(aIncoming, aNow);
    return AdmitResult::Admitted;
  }

  /** Handles a complete IPv4 packet from the backend server. */
  void handleBackendPacket(absl::Span<const std::uint8_t> aData,
                           Core::TimePoint aNow)
  {
    const auto packet =
      Packet::PacketView::parse(aData, Packet::Verify::Headers);
    if (!packet.ok()) {
      mContext.counters.increment(AgentCounter::PacketsMalformed);
      return;
    }
    mHealth.recordAnswer();
    const auto flow = packet->flowFromBackend();
    auto* ownedFlow = mFlows.find(flow);
    if (ownedFlow == nullptr) {
      mContext.counters.increment(AgentCounter::BackendPacketsUnknown);
      return;
    }
    ownedFlow->lastPacketAt = aNow;
    updateFromBackendPacket(*packet, flow, *ownedFlow, aNow);
    mContext.output.sendToCaller(packet->bytes());
    mContext.counters.increment(AgentCounter::PacketsToCallers);
  }

  /** Adopts flows that the backend server opened before this agent started. */
  void adoptFlows(const std::vector<Packet::FlowKey>& aFlows,
                  Core::TimePoint aNow)
  {
    for (const auto& flow : aFlows) {
      const auto classView =
        mContext.views.current()->findClass(flow.service, flow.protocol);
      const bool isServedHere =
        classView &&
        classView.service->indexOf(mContext.self.target).has_value();
      if (!isServedHere || owns(flow)) {
        continue;
      }
      OwnedFlow ownedFlow;
      ownedFlow.openedAt = aNow;
      ownedFlow.lastPacketAt = aNow;
      ownedFlow.classIndex = classIndex(*classView.serviceClass);
      ownedFlow.memberIndex = mUsage.memberIndex(flow.caller.address);
      ownedFlow.state = FlowState::Open;
      mUsage.acquire(classView.serviceClass->resource, ownedFlow.memberIndex);
      mFlows.insert(flow, ownedFlow);
      mContext.counters.increment(AgentCounter::FlowsAdopted);
    }
  }

  /**
   * Shifts the packet times by the duration of a suspension of the process, so
   * that no flow expires because of it.
   */
  void recordSuspension(Core::Duration aDuration)
  {
    mFlows.forEach([aDuration](const auto&, OwnedFlow& aOwnedFlow) {
      aOwnedFlow.lastPacketAt += aDuration;
    });
  }

  /** Ends idle flows and removes ended ones after their retention. */
  void expire(Core::TimePoint aNow)
  {
    mFlows.forEach([this, aNow](const auto&, OwnedFlow& aOwnedFlow) {
      const auto idleTime = aNow - aOwnedFlow.lastPacketAt;
      const auto timeout = aOwnedFlow.state == FlowState::HalfOpen
                             ? std::chrono::nanoseconds(kHandshakeTimeout)
                             : mClasses[aOwnedFlow.classIndex].idleTimeout;
      if (aOwnedFlow.state != FlowState::Ended && idleTime > timeout) {
        endFlow(aOwnedFlow, aNow);
      }
    });
    mFlows.eraseIf(
      [this, aNow](const auto& aFlow, const OwnedFlow& aOwnedFlow) {
        const auto idleTime = aNow - aOwnedFlow.lastPacketAt;
        const bool isExpired = aOwnedFlow.state == FlowState::Ended &&
                               idleTime > retentionOf(aOwnedFlow);
        if (isExpired) {
          mExchanges.erase(aFlow);
        }
        return isExpired;
      });
  }

private:
  /**
   * A flow with an incomplete handshake ends after this time, so that it does
   * not use capacity any longer.
   */
  static constexpr std::chrono::seconds kHandshakeTimeout{ 3 };
  /** For this time an ended flow still passes packets, such as the last ACK. */
  static constexpr std::chrono::seconds kEndedFlowRetention{ 2 };

  std::chrono::nanoseconds retentionOf(const OwnedFlow& aOwnedFlow) const
  {
    const auto& serviceClass = mClasses[aOwnedFlow.classIndex];
    const bool isClaimed = !serviceClass.idempotent &&
                           serviceClass.protocol == Packet::Protocol::Udp;
    return isClaimed ? mContext.replayWindow()
                     : std::chrono::nanoseconds(kEndedFlowRetention);
  }

  bool mayAdmitClaimedFlow(const IncomingPacket& aIncoming,
                           Core::TimePoint aNow) const
  {
    if (!mContext.hasFullHistory(aNow)) {
      return false;
    }
    const auto* claim = mContext.claims.find(aIncoming.flow);
    if (claim != nullptr && claim->isRejected) {
      return false;
    }
    const bool isFree = claim == nullptr || claim->claimer == 0;
    return isFree || claim->owner == mContext.self.target ||
           claim->claimer == aIncoming.header.claimer;
  }

  void openFlow(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    const auto& serviceClass = *aIncoming.classView.serviceClass;
    const auto memberIndex = mUsage.memberIndex(aIncoming.flow.caller.address);
    OwnedFlow ownedFlow;
    ownedFlow.openedAt = aNow;
    ownedFlow.lastPacketAt = aNow;
    ownedFlow.classIndex = classIndex(serviceClass);
    ownedFlow.memberIndex = memberIndex;
    ownedFlow.state = aIncoming.isUdp() ? FlowState::Open : FlowState::HalfOpen;
    mUsage.acquire(serviceClass.resource, memberIndex);
    auto& stored = mFlows.insert(aIncoming.flow, ownedFlow);
    mContext.counters.increment(AgentCounter::FlowsAdmitted);
    if (aIncoming.needsClaim()) {
      mExchanges.recordRequest(aIncoming.flow, aIncoming.packet.payload());
    }
    if (!aIncoming.isUdp()) {
      mHealth.recordSyn(aNow);
    }
    deliver(aIncoming, stored);
  }

  void deliver(const IncomingPacket& aIncoming, OwnedFlow& aOwnedFlow)
  {
    mContext.output.deliver(aIncoming.packet.bytes());
    mContext.counters.increment(AgentCounter::PacketsDelivered);
    sendOwnerNotices(mContext, aIncoming, aOwnedFlow);
  }

  DeliveryResult deliverOnce(const IncomingPacket& aIncoming,
                             OwnedFlow& aOwnedFlow)
  {
    if (mExchanges.recordRequest(aIncoming.flow, aIncoming.packet.payload())) {
      deliver(aIncoming, aOwnedFlow);
      return DeliveryResult::Delivered;
    }
    mContext.counters.increment(AgentCounter::DuplicatesSuppressed);
    sendOwnerNotices(mContext, aIncoming, aOwnedFlow);
    const auto& answer = mExchanges.answer(aIncoming.flow);
    if (!answer.empty()) {
      mContext.output.sendToCaller(answer);
      mContext.counters.increment(AgentCounter::AnswersRepeated);
    }
    return DeliveryResult::Delivered;
  }

  /**
   * Another request in an ended UDP flow needs free capacity again. Refuses the
   * request and returns false if there is none.
   */
  bool reopenUdpFlow(const IncomingPacket& aIncoming,
                     OwnedFlow& aOwnedFlow,
                     Core::TimePoint aNow)
  {
    if (aOwnedFlow.state != FlowState::Ended) {
      return true;
    }
    const auto resource = aIncoming.classView.serviceClass->resource;
    const auto capacityCheck =
      mUsage.checkCapacity(resource, aOwnedFlow.memberIndex, aNow);
    if (capacityCheck != CapacityCheck::Available) {
      mContext.output.sendToCaller(Packet::buildRefusal(aIncoming.packet));
      mContext.counters.increment(AgentCounter::FlowsRefused);
      return false;
    }
    mUsage.acquire(resource, aOwnedFlow.memberIndex);
    aOwnedFlow.state = FlowState::Open;
    aOwnedFlow.openedAt = aNow;
    return true;
  }

  void updateFromBackendPacket(const Packet::PacketView& aPacket,
                               const Packet::FlowKey& aFlow,
                               OwnedFlow& aOwnedFlow,
                               Core::TimePoint aNow)
  {
    if (aPacket.protocol() == Packet::Protocol::Udp) {
      recordBackendAnswer(aPacket, aFlow, aOwnedFlow, aNow);
      return;
    }
    if (trackBackendPacket(aPacket, aOwnedFlow)) {
      endFlow(aOwnedFlow, aNow);
    }
  }

  void recordBackendAnswer(const Packet::PacketView& aPacket,
                           const Packet::FlowKey& aFlow,
                           OwnedFlow& aOwnedFlow,
                           Core::TimePoint aNow)
  {
    const auto& serviceClass = mClasses[aOwnedFlow.classIndex];
    mExchanges.recordAnswer(aFlow, aPacket.bytes());
    if (serviceClass.resource == Config::Resource::Slot) {
      endFlow(aOwnedFlow, aNow);
    }
  }

  void endFlow(OwnedFlow& aOwnedFlow, Core::TimePoint aNow)
  {
    if (aOwnedFlow.state == FlowState::Ended) {
      return;
    }
    aOwnedFlow.state = FlowState::Ended;
    const auto& serviceClass = mClasses[aOwnedFlow.classIndex];
    mUsage.release(serviceClass.resource, aOwnedFlow.memberIndex);
    mContext.counters.increment(AgentCounter::FlowsEnded);
    const auto duration = aNow - aOwnedFlow.openedAt;
    mContext.histograms.add(mServiceName, "class", serviceClass.name, duration);
    mContext.histograms.add(mServiceName,
                            "member",
                            mUsage.memberName(aOwnedFlow.memberIndex),
                            duration);
  }

  void removeFlow(const Packet::FlowKey& aFlow) { mFlows.erase(aFlow); }

  /** Index of the class in mClasses; adds or updates it. */
  std::uint16_t classIndex(const Config::ServiceClass& aClass)
  {
    for (std::size_t i = 0; i < mClasses.size(); ++i) {
      if (mClasses[i].name == aClass.name) {
        mClasses[i] = aClass;
        return static_cast<std::uint16_t>(i);
      }
    }
    mClasses.push_back(aClass);
    return static_cast<std::uint16_t>(mClasses.size() - 1);
  }

  AgentContext<Output>& mContext;
  FlowTable mFlows;
  ExchangeTable mExchanges;
  TargetUsage mUsage;
  std::string mServiceName;
  std::vector<Config::ServiceClass> mClasses;
  BackendHealth mHealth;
  bool mIsInDocument = false;
  bool mIsZoneEvacuated = false;
};

} // namespace Ownership
