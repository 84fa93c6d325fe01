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

/** What became of a packet whose flow may be owned here. */
enum class Delivery
{
  Delivered,
  NotOwned,
};

/** What became of a flow that was assigned to this agent. */
enum class AdmitResult
{
  Admitted,
  /** No room; nothing was delivered and nothing will be. */
  Returned,
  /**
   * Another owner is on record, or this agent cannot tell whether it ran the
   * flow before it started; the outcome is unknown.
   */
  Unproven,
};

/**
 * The flows that the target beside this agent owns: admission, delivery, the
 * way back to the caller, and their end.
 */
template<AgentPort Port>
class OwnerSide
{
public:
  explicit OwnerSide(AgentContext<Port>& aContext)
    : mContext(aContext)
  {
    mUsage.setStartedAt(aContext.self.startedAt);
  }

  /** Takes the limits and classes of the view in force over. */
  void adoptView()
  {
    const auto& view = *mContext.views.current();
    const auto* place = view.findTarget(mContext.self.target);
    mIsDeclared = place != nullptr;
    if (mIsDeclared) {
      mServiceName = view.serviceOfTarget(mContext.self.target)->service->name;
      mUsage.setLimits(view.document(), *place->target);
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

  /** True when this target may take new flows at all. */
  bool takesNewFlows(Core::TimePoint aNow) const
  {
    const auto* place =
      mContext.views.current()->findTarget(mContext.self.target);
    return mIsDeclared && !mContext.isLeaving && !place->leaving &&
           mHealth.isHealthy(aNow);
  }

  /** True when the flow would be admitted. */
  bool hasRoom(const Arrival& aArrival, Core::TimePoint aNow) const
  {
    const auto member = mUsage.memberIndex(aArrival.flow.caller.address);
    const auto occupies = aArrival.classView.serviceClass->occupies;
    const bool mayClaim =
      !aArrival.needsClaim() || mayAdmitClaimed(aArrival, aNow);
    return takesNewFlows(aNow) && mayClaim &&
           mUsage.check(occupies, member, aNow) == Admission::Admitted;
  }

  Delivery deliverIfOwned(const Arrival& aArrival, Core::TimePoint aNow)
  {
    auto* entry = mFlows.find(aArrival.flow);
    if (entry == nullptr) {
      return Delivery::NotOwned;
    }
    const bool isReused =
      aArrival.packet.isOpening() && entry->state == FlowState::Ended;
    if (isReused) {
      forget(aArrival.flow);
      return Delivery::NotOwned;
    }
    if (isUnansweredOpening(aArrival.packet, *entry) &&
        !mHealth.isHealthy(aNow)) {
      // Nothing but the opening packet was delivered; another may have it.
      end(*entry, aNow);
      forget(aArrival.flow);
      return Delivery::NotOwned;
    }
    if (!isPartOfHandshake(aArrival.packet, *entry)) {
      return Delivery::NotOwned;
    }
    entry->lastPacketAt = aNow;
    if (aArrival.needsClaim()) {
      return deliverOnce(aArrival, *entry);
    }
    if (aArrival.isUdp() && !reopenUdp(aArrival, *entry, aNow)) {
      return Delivery::Delivered;
    }
    trackCallerPacket(aArrival.packet, *entry);
    deliver(aArrival, *entry);
    if (entry->isCallerDone && entry->isBackendDone) {
      end(*entry, aNow);
    }
    return Delivery::Delivered;
  }

  AdmitResult admit(const Arrival& aArrival, Core::TimePoint aNow)
  {
    if (aArrival.needsClaim() && !mayAdmitClaimed(aArrival, aNow)) {
      return AdmitResult::Unproven;
    }
    if (!hasRoom(aArrival, aNow)) {
      // An assignment from elsewhere may come a second time.
      const bool isFromElsewhere = aArrival.header.home != mContext.self.target;
      if (aArrival.needsClaim() && isFromElsewhere) {
        mContext.claims.reject(aArrival.flow, aNow);
      }
      mContext.counters.increment(AgentCounter::FlowsReturned);
      return AdmitResult::Returned;
    }
    open(aArrival, aNow);
    return AdmitResult::Admitted;
  }

  /** Handles one whole packet from the backend server. */
  void handleBackendPacket(absl::Span<const std::uint8_t> aData,
                           Core::TimePoint aNow)
  {
    const auto packet =
      Packet::PacketView::parse(aData, Packet::Verify::Headers);
    if (!packet.ok()) {
      mContext.counters.increment(AgentCounter::PacketsMalformed);
      return;
    }
    mHealth.noteAnswer();
    const auto flow = packet->flowToCaller();
    auto* entry = mFlows.find(flow);
    if (entry == nullptr) {
      mContext.counters.increment(AgentCounter::BackendPacketsUnknown);
      return;
    }
    entry->lastPacketAt = aNow;
    noteBackendPacket(*packet, flow, *entry, aNow);
    mContext.port.sendToCaller(packet->bytes());
    mContext.counters.increment(AgentCounter::PacketsToCallers);
  }

  /** Takes flows over that the backend server held before this start. */
  void adoptFlows(const std::vector<Packet::FlowKey>& aFlows,
                  Core::TimePoint aNow)
  {
    for (const auto& flow : aFlows) {
      const auto found =
        mContext.views.current()->findClass(flow.service, flow.protocol);
      const bool isMine =
        found && found.service->indexOf(mContext.self.target).has_value();
      if (!isMine || owns(flow)) {
        continue;
      }
      OwnedFlow entry;
      entry.openedAt = aNow;
      entry.lastPacketAt = aNow;
      entry.classIndex = classIndex(*found.serviceClass);
      entry.memberIndex = mUsage.memberIndex(flow.caller.address);
      entry.state = FlowState::Open;
      mUsage.take(found.serviceClass->occupies, entry.memberIndex);
      mFlows.insert(flow, entry);
      mContext.counters.increment(AgentCounter::FlowsAdopted);
    }
  }

  /** The process did not run for so long; that is no silence of callers. */
  void noteSleep(Core::Duration aTime)
  {
    mFlows.forEach([aTime](const auto&, OwnedFlow& aEntry) {
      aEntry.lastPacketAt += aTime;
    });
  }

  /** Ends flows that were silent for too long and forgets ended ones. */
  void expire(Core::TimePoint aNow)
  {
    mFlows.forEach([this, aNow](const auto&, OwnedFlow& aEntry) {
      const auto silent = aNow - aEntry.lastPacketAt;
      const auto limit = aEntry.state == FlowState::HalfOpen
                           ? std::chrono::nanoseconds(kHandshakeTimeout)
                           : mClasses[aEntry.classIndex].idleTimeout;
      if (aEntry.state != FlowState::Ended && silent > limit) {
        end(aEntry, aNow);
      }
    });
    mFlows.eraseIf([this, aNow](const auto& aFlow, const OwnedFlow& aEntry) {
      const auto silent = aNow - aEntry.lastPacketAt;
      const bool isOver =
        aEntry.state == FlowState::Ended && silent > memoryOf(aEntry);
      if (isOver) {
        mExchanges.erase(aFlow);
      }
      return isOver;
    });
  }

private:
  /** A handshake that takes longer holds no room. */
  static constexpr std::chrono::seconds kHandshakeTimeout{ 3 };
  /** Ended flows still pass the last acknowledgments on. */
  static constexpr std::chrono::seconds kLinger{ 2 };

  std::chrono::nanoseconds memoryOf(const OwnedFlow& aEntry) const
  {
    const auto& serviceClass = mClasses[aEntry.classIndex];
    const bool isClaimed = !serviceClass.idempotent &&
                           serviceClass.protocol == Packet::Protocol::Udp;
    return isClaimed ? mContext.replayWindow()
                     : std::chrono::nanoseconds(kLinger);
  }

  bool mayAdmitClaimed(const Arrival& aArrival, Core::TimePoint aNow) const
  {
    if (!mContext.isComplete(aNow)) {
      return false;
    }
    const auto* claim = mContext.claims.find(aArrival.flow);
    if (claim != nullptr && claim->isRejected) {
      return false;
    }
    const bool isFree = claim == nullptr || claim->claimer == 0;
    return isFree || claim->owner == mContext.self.target ||
           claim->claimer == aArrival.header.claimer;
  }

  void open(const Arrival& aArrival, Core::TimePoint aNow)
  {
    const auto& serviceClass = *aArrival.classView.serviceClass;
    const auto member = mUsage.memberIndex(aArrival.flow.caller.address);
    OwnedFlow entry;
    entry.openedAt = aNow;
    entry.lastPacketAt = aNow;
    entry.classIndex = classIndex(serviceClass);
    entry.memberIndex = member;
    entry.state = aArrival.isUdp() ? FlowState::Open : FlowState::HalfOpen;
    mUsage.take(serviceClass.occupies, member);
    auto& kept = mFlows.insert(aArrival.flow, entry);
    mContext.counters.increment(AgentCounter::FlowsAdmitted);
    if (aArrival.needsClaim()) {
      mExchanges.noteRequest(aArrival.flow, aArrival.packet.payload());
    }
    if (!aArrival.isUdp()) {
      mHealth.noteOpening(aNow);
    }
    deliver(aArrival, kept);
  }

  void deliver(const Arrival& aArrival, OwnedFlow& aEntry)
  {
    mContext.port.deliver(aArrival.packet.bytes());
    mContext.counters.increment(AgentCounter::PacketsDelivered);
    sendOwnerNotices(mContext, aArrival, aEntry);
  }

  Delivery deliverOnce(const Arrival& aArrival, OwnedFlow& aEntry)
  {
    if (mExchanges.noteRequest(aArrival.flow, aArrival.packet.payload())) {
      deliver(aArrival, aEntry);
      return Delivery::Delivered;
    }
    mContext.counters.increment(AgentCounter::DuplicatesSuppressed);
    sendOwnerNotices(mContext, aArrival, aEntry);
    const auto& answer = mExchanges.answer(aArrival.flow);
    if (!answer.empty()) {
      mContext.port.sendToCaller(answer);
      mContext.counters.increment(AgentCounter::AnswersRepeated);
    }
    return Delivery::Delivered;
  }

  /** Another request in an ended UDP flow needs room again. */
  bool reopenUdp(const Arrival& aArrival,
                 OwnedFlow& aEntry,
                 Core::TimePoint aNow)
  {
    if (aEntry.state != FlowState::Ended) {
      return true;
    }
    const auto occupies = aArrival.classView.serviceClass->occupies;
    const auto admission = mUsage.check(occupies, aEntry.memberIndex, aNow);
    if (admission != Admission::Admitted) {
      mContext.port.sendToCaller(Packet::buildRefusal(aArrival.packet));
      mContext.counters.increment(AgentCounter::FlowsRefused);
      return false;
    }
    mUsage.take(occupies, aEntry.memberIndex);
    aEntry.state = FlowState::Open;
    aEntry.openedAt = aNow;
    return true;
  }

  void noteBackendPacket(const Packet::PacketView& aPacket,
                         const Packet::FlowKey& aFlow,
                         OwnedFlow& aEntry,
                         Core::TimePoint aNow)
  {
    if (aPacket.protocol() == Packet::Protocol::Udp) {
      noteBackendAnswer(aPacket, aFlow, aEntry, aNow);
      return;
    }
    if (trackBackendPacket(aPacket, aEntry)) {
      end(aEntry, aNow);
    }
  }

  void noteBackendAnswer(const Packet::PacketView& aPacket,
                         const Packet::FlowKey& aFlow,
                         OwnedFlow& aEntry,
                         Core::TimePoint aNow)
  {
    const auto& serviceClass = mClasses[aEntry.classIndex];
    mExchanges.noteAnswer(aFlow, aPacket.bytes());
    if (serviceClass.occupies == Config::Occupies::Slot) {
      end(aEntry, aNow);
    }
  }

  void end(OwnedFlow& aEntry, Core::TimePoint aNow)
  {
    if (aEntry.state == FlowState::Ended) {
      return;
    }
    aEntry.state = FlowState::Ended;
    const auto& serviceClass = mClasses[aEntry.classIndex];
    mUsage.release(serviceClass.occupies, aEntry.memberIndex);
    mContext.counters.increment(AgentCounter::FlowsEnded);
    const auto duration = aNow - aEntry.openedAt;
    mContext.histograms.add(mServiceName, "class", serviceClass.name, duration);
    mContext.histograms.add(
      mServiceName, "member", mUsage.memberName(aEntry.memberIndex), duration);
  }

  void forget(const Packet::FlowKey& aFlow) { mFlows.erase(aFlow); }

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

  AgentContext<Port>& mContext;
  FlowTable mFlows;
  ExchangeTable mExchanges;
  TargetUsage mUsage;
  std::string mServiceName;
  std::vector<Config::ServiceClass> mClasses;
  BackendHealth mHealth;
  bool mIsDeclared = false;
};

} // namespace Ownership
