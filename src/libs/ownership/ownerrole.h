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
   * The outcome is unknown: another owner is recorded, or this agent may have
   * run the flow before it was started.
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

  /** Applies the limits of the current view. */
  void activateView()
  {
    const auto& view = *mContext.views.current();
    const auto* targetEntry = view.findTarget(mContext.self.target);
    mIsInDocument = targetEntry != nullptr;
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
    return mIsInDocument && !mContext.isDraining && !targetEntry->leaving &&
           mHealth.isHealthy(aNow);
  }

  /** True if the flow would be admitted. */
  bool hasCapacity(const IncomingPacket& aIncoming, Core::TimePoint aNow) const
  {
    const auto member = mUsage.memberIndex(aIncoming.flow.caller.address);
    const auto resource = aIncoming.classView.serviceClass->resource;
    const bool mayClaim =
      !aIncoming.needsClaim() || mayAdmitClaimedFlow(aIncoming, aNow);
    return acceptsNewFlows(aNow) && mayClaim &&
           mUsage.checkCapacity(resource, member, aNow) ==
             CapacityCheck::Available;
  }

  DeliveryResult deliverIfOwned(const IncomingPacket& aIncoming,
                                Core::TimePoint aNow)
  {
    auto* entry = mFlows.find(aIncoming.flow);
    if (entry == nullptr) {
      return DeliveryResult::NotOwned;
    }
    const bool isPortReused =
      aIncoming.packet.isSyn() && entry->state == FlowState::Ended;
    if (isPortReused) {
      removeFlow(aIncoming.flow);
      return DeliveryResult::NotOwned;
    }
    if (isUnansweredSyn(aIncoming.packet, *entry) && !mHealth.isHealthy(aNow)) {
      // Only the SYN was delivered, so that another target may own the flow.
      endFlow(*entry, aNow);
      removeFlow(aIncoming.flow);
      return DeliveryResult::NotOwned;
    }
    if (!matchesHandshake(aIncoming.packet, *entry)) {
      return DeliveryResult::NotOwned;
    }
    entry->lastPacketAt = aNow;
    if (aIncoming.needsClaim()) {
      return deliverOnce(aIncoming, *entry);
    }
    if (aIncoming.isUdp() && !reopenUdpFlow(aIncoming, *entry, aNow)) {
      return DeliveryResult::Delivered;
    }
    trackCallerPacket(aIncoming.packet, *entry);
    deliver(aIncoming, *entry);
    if (entry->isClosedByCaller && entry->isClosedByBackend) {
      endFlow(*entry, aNow);
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
    auto* entry = mFlows.find(flow);
    if (entry == nullptr) {
      mContext.counters.increment(AgentCounter::BackendPacketsUnknown);
      return;
    }
    entry->lastPacketAt = aNow;
    updateFromBackendPacket(*packet, flow, *entry, aNow);
    mContext.output.sendToCaller(packet->bytes());
    mContext.counters.increment(AgentCounter::PacketsToCallers);
  }

  /** Adopts flows that the backend server had open before this start. */
  void adoptFlows(const std::vector<Packet::FlowKey>& aFlows,
                  Core::TimePoint aNow)
  {
    for (const auto& flow : aFlows) {
      const auto found =
        mContext.views.current()->findClass(flow.service, flow.protocol);
      const bool isServedHere =
        found && found.service->indexOf(mContext.self.target).has_value();
      if (!isServedHere || owns(flow)) {
        continue;
      }
      OwnedFlow entry;
      entry.openedAt = aNow;
      entry.lastPacketAt = aNow;
      entry.classIndex = classIndex(*found.serviceClass);
      entry.memberIndex = mUsage.memberIndex(flow.caller.address);
      entry.state = FlowState::Open;
      mUsage.acquire(found.serviceClass->resource, entry.memberIndex);
      mFlows.insert(flow, entry);
      mContext.counters.increment(AgentCounter::FlowsAdopted);
    }
  }

  /**
   * Shifts the packet times by the time for which the process was suspended,
   * so that no flow expires because of it.
   */
  void recordSuspension(Core::Duration aTime)
  {
    mFlows.forEach([aTime](const auto&, OwnedFlow& aEntry) {
      aEntry.lastPacketAt += aTime;
    });
  }

  /** Ends idle flows and removes ended ones after their retention. */
  void expire(Core::TimePoint aNow)
  {
    mFlows.forEach([this, aNow](const auto&, OwnedFlow& aEntry) {
      const auto idleTime = aNow - aEntry.lastPacketAt;
      const auto limit = aEntry.state == FlowState::HalfOpen
                           ? std::chrono::nanoseconds(kHandshakeTimeout)
                           : mClasses[aEntry.classIndex].idleTimeout;
      if (aEntry.state != FlowState::Ended && idleTime > limit) {
        endFlow(aEntry, aNow);
      }
    });
    mFlows.eraseIf([this, aNow](const auto& aFlow, const OwnedFlow& aEntry) {
      const auto idleTime = aNow - aEntry.lastPacketAt;
      const bool isExpired =
        aEntry.state == FlowState::Ended && idleTime > retentionOf(aEntry);
      if (isExpired) {
        mExchanges.erase(aFlow);
      }
      return isExpired;
    });
  }

private:
  /** A flow with an incomplete handshake ends after this time. */
  static constexpr std::chrono::seconds kHandshakeTimeout{ 3 };
  /** Ended flows still forward the last acknowledgments. */
  static constexpr std::chrono::seconds kEndedFlowRetention{ 2 };

  std::chrono::nanoseconds retentionOf(const OwnedFlow& aEntry) const
  {
    const auto& serviceClass = mClasses[aEntry.classIndex];
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
    const auto member = mUsage.memberIndex(aIncoming.flow.caller.address);
    OwnedFlow entry;
    entry.openedAt = aNow;
    entry.lastPacketAt = aNow;
    entry.classIndex = classIndex(serviceClass);
    entry.memberIndex = member;
    entry.state = aIncoming.isUdp() ? FlowState::Open : FlowState::HalfOpen;
    mUsage.acquire(serviceClass.resource, member);
    auto& stored = mFlows.insert(aIncoming.flow, entry);
    mContext.counters.increment(AgentCounter::FlowsAdmitted);
    if (aIncoming.needsClaim()) {
      mExchanges.recordRequest(aIncoming.flow, aIncoming.packet.payload());
    }
    if (!aIncoming.isUdp()) {
      mHealth.recordSyn(aNow);
    }
    deliver(aIncoming, stored);
  }

  void deliver(const IncomingPacket& aIncoming, OwnedFlow& aEntry)
  {
    mContext.output.deliver(aIncoming.packet.bytes());
    mContext.counters.increment(AgentCounter::PacketsDelivered);
    sendOwnerNotices(mContext, aIncoming, aEntry);
  }

  DeliveryResult deliverOnce(const IncomingPacket& aIncoming, OwnedFlow& aEntry)
  {
    if (mExchanges.recordRequest(aIncoming.flow, aIncoming.packet.payload())) {
      deliver(aIncoming, aEntry);
      return DeliveryResult::Delivered;
    }
    mContext.counters.increment(AgentCounter::DuplicatesSuppressed);
    sendOwnerNotices(mContext, aIncoming, aEntry);
    const auto& answer = mExchanges.answer(aIncoming.flow);
    if (!answer.empty()) {
      mContext.output.sendToCaller(answer);
      mContext.counters.increment(AgentCounter::AnswersRepeated);
    }
    return DeliveryResult::Delivered;
  }

  /** Another request in an ended UDP flow needs free capacity again. */
  bool reopenUdpFlow(const IncomingPacket& aIncoming,
                     OwnedFlow& aEntry,
                     Core::TimePoint aNow)
  {
    if (aEntry.state != FlowState::Ended) {
      return true;
    }
    const auto resource = aIncoming.classView.serviceClass->resource;
    const auto capacityCheck =
      mUsage.checkCapacity(resource, aEntry.memberIndex, aNow);
    if (capacityCheck != CapacityCheck::Available) {
      mContext.output.sendToCaller(Packet::buildRefusal(aIncoming.packet));
      mContext.counters.increment(AgentCounter::FlowsRefused);
      return false;
    }
    mUsage.acquire(resource, aEntry.memberIndex);
    aEntry.state = FlowState::Open;
    aEntry.openedAt = aNow;
    return true;
  }

  void updateFromBackendPacket(const Packet::PacketView& aPacket,
                               const Packet::FlowKey& aFlow,
                               OwnedFlow& aEntry,
                               Core::TimePoint aNow)
  {
    if (aPacket.protocol() == Packet::Protocol::Udp) {
      recordBackendAnswer(aPacket, aFlow, aEntry, aNow);
      return;
    }
    if (trackBackendPacket(aPacket, aEntry)) {
      endFlow(aEntry, aNow);
    }
  }

  void recordBackendAnswer(const Packet::PacketView& aPacket,
                           const Packet::FlowKey& aFlow,
                           OwnedFlow& aEntry,
                           Core::TimePoint aNow)
  {
    const auto& serviceClass = mClasses[aEntry.classIndex];
    mExchanges.recordAnswer(aFlow, aPacket.bytes());
    if (serviceClass.resource == Config::Resource::Slot) {
      endFlow(aEntry, aNow);
    }
  }

  void endFlow(OwnedFlow& aEntry, Core::TimePoint aNow)
  {
    if (aEntry.state == FlowState::Ended) {
      return;
    }
    aEntry.state = FlowState::Ended;
    const auto& serviceClass = mClasses[aEntry.classIndex];
    mUsage.release(serviceClass.resource, aEntry.memberIndex);
    mContext.counters.increment(AgentCounter::FlowsEnded);
    const auto duration = aNow - aEntry.openedAt;
    mContext.histograms.add(mServiceName, "class", serviceClass.name, duration);
    mContext.histograms.add(
      mServiceName, "member", mUsage.memberName(aEntry.memberIndex), duration);
  }

  void removeFlow(const Packet::FlowKey& aFlow) { mFlows.erase(aFlow); }

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
};

} // namespace Ownership
