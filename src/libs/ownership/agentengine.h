#pragma once

#include "ownership/agentcontext.h"
#include "ownership/claimside.h"
#include "ownership/homeside.h"
#include "ownership/loadreporter.h"
#include "ownership/ownerside.h"
#include "ownership/placement.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace Ownership {

/**
 * The decisions of an agent, put together from its parts: it takes datagrams
 * of balancers and other agents and packets of its backend server. Used by
 * one thread, which calls tick() at least every ten milliseconds.
 */
template<AgentPort Port>
class AgentEngine
{
public:
  AgentEngine(Port& aPort,
              const AgentIdentity& aSelf,
              const Config::FlowHashKey& aKey,
              Telemetry::EventLog& aEvents,
              Telemetry::HistogramSet& aHistograms)
    : mContext(aPort, aSelf, aKey, aEvents, aHistograms)
    , mOwnerSide(mContext)
    , mPlacement(mContext, mOwnerSide)
    , mClaimSide(mContext, mOwnerSide, mPlacement)
    , mHomeSide(mContext, mOwnerSide, mPlacement, mClaimSide)
    , mReporter(mContext)
    , mTickedAt(aSelf.startedAt)
  {
    mClaimSide.setComplete([this](const Packet::Bytes& aPacket,
                                  const Packet::ForwardHeader& aHeader,
                                  Config::Identity aOwner) {
      const auto arrival = arrivalOf(aPacket, aHeader);
      if (arrival) {
        mHomeSide.handleProven(*arrival, aOwner, mNow);
      }
    });
  }
  AgentEngine(const AgentEngine&) = delete;
  AgentEngine& operator=(const AgentEngine&) = delete;

  /** Fails for a view that may not replace the one in force. */
  absl::Status adoptView(Routing::FleetViewPointer aView, Core::TimePoint aNow)
  {
    const auto replaced = haveSameTargets(*aView)
                            ? Routing::ViewHistory::Replaced::Forget
                            : Routing::ViewHistory::Replaced::Keep;
    auto status = mContext.views.adopt(std::move(aView), aNow, replaced);
    if (status.ok()) {
      confirmView(aNow);
      mOwnerSide.adoptView();
      mReporter.findWatchers();
    }
    return status;
  }

  /** Somebody who may know better agreed that the view is the newest. */
  void confirmView(Core::TimePoint aNow) { mContext.viewConfirmedAt = aNow; }

  const Routing::FleetViewPointer& view() const
  {
    return mContext.views.current();
  }
  const AgentCounters& counters() const { return mContext.counters; }
  std::size_t openFlows() const { return mOwnerSide.openFlows(); }
  std::size_t waitingFlows() const { return mHomeSide.waitingCount(); }
  Load load(Core::TimePoint aNow) const { return mOwnerSide.load(aNow); }
  bool isLeaving() const { return mContext.isLeaving; }
  bool isComplete(Core::TimePoint aNow) const
  {
    return view() != nullptr && mContext.isComplete(aNow);
  }

  /** From now on no new flow is admitted; open ones go on. */
  void beginLeaving(Core::TimePoint aNow)
  {
    mContext.isLeaving = true;
    if (view() != nullptr) {
      mReporter.report(mOwnerSide, aNow);
    }
  }

  /** Takes over the flows that the backend server holds at the start. */
  void adoptFlows(const std::vector<Packet::FlowKey>& aFlows,
                  Core::TimePoint aNow)
  {
    mOwnerSide.adoptFlows(aFlows, aNow);
  }

  /** Handles one datagram from a balancer or another agent. */
  void handleDatagram(absl::Span<const std::uint8_t> aDatagram,
                      Core::TimePoint aNow)
  {
    mNow = aNow;
    noteSleep(aNow);
    mContext.counters.increment(AgentCounter::PacketsReceived);
    const auto gue = Packet::GuePacket::parse(aDatagram);
    if (!gue.ok()) {
      noteMalformed(gue.status());
      return;
    }
    if (view() == nullptr) {
      return;
    }
    if (gue->content == Packet::GueContent::ControlMessage) {
      handleControl(gue->body, aNow);
      return;
    }
    const auto header = Packet::ForwardHeader::parse(gue->privateData);
    if (!header.ok()) {
      noteMalformed(header.status());
      return;
    }
    const auto arrival = arrivalOf(gue->body, *header);
    if (arrival) {
      handleArrival(*arrival, aNow);
    }
  }

  /** Handles one whole packet from the backend server. */
  void handleBackendPacket(absl::Span<const std::uint8_t> aPacket,
                           Core::TimePoint aNow)
  {
    mNow = aNow;
    if (view() != nullptr) {
      mOwnerSide.handleBackendPacket(aPacket, aNow);
    }
  }

  void tick(Core::TimePoint aNow)
  {
    mNow = aNow;
    noteSleep(aNow);
    mTickedAt = aNow;
    if (view() == nullptr) {
      return;
    }
    mClaimSide.expire(aNow);
    if (aNow - mExpiredAt >= kExpiryInterval) {
      mExpiredAt = aNow;
      expire(aNow);
    }
    retryWaiting(aNow);
    mReporter.reportIfDue(mOwnerSide, aNow);
  }

private:
  static constexpr std::chrono::milliseconds kExpiryInterval{ 250 };
  /** A gap between two ticks that is longer means that the process slept. */
  static constexpr std::chrono::milliseconds kSleepLimit{ 1'000 };

  void noteMalformed(const absl::Status& aStatus)
  {
    mContext.counters.increment(AgentCounter::PacketsMalformed);
    mContext.events.write(Telemetry::Event::MalformedPacket, aStatus.message());
  }

  /** After a sleep the view must be confirmed before it is acted on. */
  void noteSleep(Core::TimePoint aNow)
  {
    const auto gap = aNow - mTickedAt;
    if (gap <= kSleepLimit) {
      return;
    }
    mTickedAt = aNow;
    mContext.viewConfirmedAt = aNow - mContext.kViewLease - kSleepLimit;
    mOwnerSide.noteSleep(gap);
    mContext.board.noteSleep(gap);
    mContext.events.write(
      Telemetry::Event::ProcessSlept,
      absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(gap).count(),
        " ms without a tick; no new flow until the view is confirmed"));
  }

  std::optional<Arrival> arrivalOf(absl::Span<const std::uint8_t> aPacket,
                                   const Packet::ForwardHeader& aHeader)
  {
    const auto packet =
      Packet::PacketView::parse(aPacket, Packet::Verify::HeadersAndPayload);
    if (!packet.ok()) {
      noteMalformed(packet.status());
      return std::nullopt;
    }
    Arrival arrival{ *packet, aHeader, packet->flowToService(), 0, {} };
    arrival.flowHash = mContext.hasher.hash(arrival.flow);
    arrival.classView =
      view()->findClass(packet->destination(), packet->protocol());
    const bool isMine =
      arrival.classView &&
      arrival.classView.service->service->identity == aHeader.service &&
      arrival.classView.service->indexOf(mContext.self.target).has_value();
    if (!isMine && !isOfEarlierService(arrival)) {
      mContext.counters.increment(AgentCounter::PacketsWrongService);
      mContext.events.write(Telemetry::Event::WrongService,
                            Packet::formatFlowKey(arrival.flow));
      return std::nullopt;
    }
    return arrival;
  }

  /** A target that left the document still serves its open flows. */
  bool isOfEarlierService(Arrival& aArrival) const
  {
    for (const auto& it : mContext.views.earlier()) {
      const auto found = it->findClass(aArrival.packet.destination(),
                                       aArrival.packet.protocol());
      if (found && found.service->indexOf(mContext.self.target) &&
          found.service->service->identity == aArrival.header.service) {
        aArrival.classView = found;
        return true;
      }
    }
    return false;
  }

  void handleArrival(const Arrival& aArrival, Core::TimePoint aNow)
  {
    if (mOwnerSide.deliverIfOwned(aArrival, aNow) == Delivery::Delivered) {
      return;
    }
    switch (aArrival.header.purpose) {
      case Packet::ForwardPurpose::Deliver:
      case Packet::ForwardPurpose::ToHome:
        mHomeSide.handleUnowned(aArrival, aNow);
        break;
      case Packet::ForwardPurpose::Assign:
        handleAssigned(aArrival, aNow);
        break;
      case Packet::ForwardPurpose::Return:
        mHomeSide.handleReturned(aArrival, aNow);
        break;
      case Packet::ForwardPurpose::Search:
        mPlacement.passOnSearch(aArrival);
        break;
    }
  }

  void handleAssigned(const Arrival& aArrival, Core::TimePoint aNow)
  {
    mReporter.noteAssignment(aArrival.header.home);
    const auto result = mOwnerSide.admit(aArrival, aNow);
    if (result == AdmitResult::Unproven) {
      mPlacement.answerUnknown(aArrival.packet);
    }
    if (result != AdmitResult::Returned) {
      return;
    }
    mReporter.report(mOwnerSide, aNow);
    auto header = aArrival.header;
    header.purpose = Packet::ForwardPurpose::Return;
    header.home = mContext.self.target;
    mContext.forward(
      mContext.endpointOf(aArrival.header.home), header, aArrival.packet);
  }

  void handleControl(absl::Span<const std::uint8_t> aBody, Core::TimePoint aNow)
  {
    Messages::PeerMessage message;
    if (!message.ParseFromArray(aBody.data(), static_cast<int>(aBody.size()))) {
      noteMalformed(absl::InvalidArgumentError("unreadable peer message"));
      return;
    }
    switch (message.content_case()) {
      case Messages::PeerMessage::kOwnerNotice:
        mPlacement.noteOwner(Messages::readFlow(message.owner_notice().flow()),
                             message.owner_notice().owner(),
                             aNow);
        break;
      case Messages::PeerMessage::kLoadReport:
        mContext.counters.increment(AgentCounter::LoadReportsReceived);
        mContext.board.report(message.load_report(), aNow);
        break;
      case Messages::PeerMessage::kClaimRequest:
        mClaimSide.handleRequest(message.claim_request(), aNow);
        break;
      case Messages::PeerMessage::kClaimReply:
        mClaimSide.handleReply(message.claim_reply(), aNow);
        break;
      case Messages::PeerMessage::CONTENT_NOT_SET:
        noteMalformed(absl::InvalidArgumentError("empty peer message"));
        break;
    }
  }

  void retryWaiting(Core::TimePoint aNow)
  {
    mHomeSide.retryWaiting(
      [this](const WaitingFlow& aFlow) {
        return arrivalOf(aFlow.packet, aFlow.header);
      },
      aNow);
  }

  void expire(Core::TimePoint aNow)
  {
    mOwnerSide.expire(aNow);
    mPlacement.expire(aNow);
    mContext.views.forgetReplacedBefore(
      aNow - mContext.replayWindow(),
      [this](const Routing::FleetView& aView) { return isActedOn(aView); });
  }

  /** True while a declared target may still act on the view. */
  bool isActedOn(const Routing::FleetView& aView) const
  {
    const auto* service = aView.serviceOfTarget(mContext.self.target);
    if (service == nullptr) {
      return false;
    }
    for (const auto& place : service->targets) {
      const auto identity = place.target->identity;
      const bool isDeclared = view()->findTarget(identity) != nullptr;
      const auto* peer = mContext.board.find(identity);
      if (isDeclared && peer != nullptr && peer->revision <= aView.revision()) {
        return true;
      }
    }
    return false;
  }

  bool haveSameTargets(const Routing::FleetView& aView) const
  {
    if (view() == nullptr) {
      return true;
    }
    const auto* before = view()->serviceOfTarget(mContext.self.target);
    const auto* after = aView.serviceOfTarget(mContext.self.target);
    if (before == nullptr || after == nullptr) {
      return before == after;
    }
    return std::equal(before->targets.begin(),
                      before->targets.end(),
                      after->targets.begin(),
                      after->targets.end(),
                      [](const auto& aLeft, const auto& aRight) {
                        return aLeft.target->identity ==
                               aRight.target->identity;
                      });
  }

  AgentContext<Port> mContext;
  OwnerSide<Port> mOwnerSide;
  Placement<Port> mPlacement;
  ClaimSide<Port> mClaimSide;
  HomeSide<Port> mHomeSide;
  LoadReporter<Port> mReporter;
  Core::TimePoint mExpiredAt{};
  Core::TimePoint mTickedAt;
  Core::TimePoint mNow{};
};

} // namespace Ownership
