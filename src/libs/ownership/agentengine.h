#pragma once

#include "ownership/agentcontext.h"
#include "ownership/claimrole.h"
#include "ownership/homerole.h"
#include "ownership/loadreporter.h"
#include "ownership/ownerrole.h"
#include "ownership/placement.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <vector>

namespace Ownership {

/**
 * Decides what an agent does with datagrams from balancers and other agents,
 * and with packets from its backend server. The work is divided among roles:
 * an agent is the owner of some flows and the home of others. The home agent
 * of a flow is picked by a hash; it chooses the owner and keeps the flow's
 * directory entry.
 *
 * Must only be used by one thread, which calls tick() at least every ten
 * milliseconds.
 */
template<AgentOutput Output>
class AgentEngine
{
public:
  AgentEngine(Output& aOutput,
              const AgentIdentity& aSelf,
              const Config::FlowHashKey& aKey,
              Telemetry::EventLog& aEvents,
              Telemetry::HistogramSet& aHistograms)
    : mContext(aOutput, aSelf, aKey, aEvents, aHistograms)
    , mOwnerRole(mContext)
    , mPlacement(mContext, mOwnerRole)
    , mClaimRole(mContext, mOwnerRole, mPlacement)
    , mHomeRole(mContext, mOwnerRole, mPlacement, mClaimRole)
    , mLoadReporter(mContext)
    , mLastTickAt(aSelf.startedAt)
  {
    mClaimRole.setClaimProvenHandler(
      [this](const Packet::Bytes& aPacket,
             const Packet::ForwardHeader& aHeader,
             Config::Identity aOwner) {
        const auto incoming = parseIncoming(aPacket, aHeader);
        if (incoming) {
          mHomeRole.placeOrRefuse(*incoming, aOwner, mNow);
        }
      });
  }
  AgentEngine(const AgentEngine&) = delete;
  AgentEngine& operator=(const AgentEngine&) = delete;

  /**
   * Fails for a revision older than the current one, and for another document
   * under the current revision.
   */
  absl::Status activateView(Routing::FleetViewPointer aView,
                            Core::TimePoint aNow)
  {
    const auto previousView = hasSameTargets(*aView)
                                ? Routing::ViewHistory::PreviousView::Discard
                                : Routing::ViewHistory::PreviousView::Keep;
    auto status = mContext.views.activate(std::move(aView), aNow, previousView);
    if (status.ok()) {
      confirmView(aNow);
      mOwnerRole.activateView(aNow);
      mLoadReporter.updateReceivers();
    }
    return status;
  }

  /**
   * Records that the current view was the newest one at aNow, according to a
   * process that would know of a newer one.
   */
  void confirmView(Core::TimePoint aNow) { mContext.viewConfirmedAt = aNow; }

  const Routing::FleetViewPointer& view() const
  {
    return mContext.views.current();
  }
  const AgentCounters& counters() const { return mContext.counters; }
  std::size_t openFlows() const { return mOwnerRole.openFlows(); }
  std::size_t flowQueueLength() const { return mHomeRole.queuedFlowCount(); }
  Load load(Core::TimePoint aNow) const { return mOwnerRole.load(aNow); }
  bool isDraining() const { return mContext.isDraining; }
  bool hasFullHistory(Core::TimePoint aNow) const
  {
    return view() != nullptr && mContext.hasFullHistory(aNow);
  }

  /** Stops admitting new flows; open flows continue. */
  void startDraining(Core::TimePoint aNow)
  {
    mContext.isDraining = true;
    if (view() != nullptr) {
      mLoadReporter.sendReport(mOwnerRole, aNow);
    }
  }

  /** Adopts the flows that the backend server has open as the agent starts. */
  void adoptFlows(const std::vector<Packet::FlowKey>& aFlows,
                  Core::TimePoint aNow)
  {
    mOwnerRole.adoptFlows(aFlows, aNow);
  }

  /** Handles a datagram from a balancer or another agent. */
  void handleDatagram(absl::Span<const std::uint8_t> aDatagram,
                      Core::TimePoint aNow)
  {
    mNow = aNow;
    detectSuspension(aNow);
    mContext.counters.increment(AgentCounter::PacketsReceived);
    const auto gue = Packet::GuePacket::parse(aDatagram);
    if (!gue.ok()) {
      recordMalformed(gue.status());
      return;
    }
    if (view() == nullptr) {
      return;
    }
    if (gue->content == Packet::GueContent::ControlMessage) {
      handleControlMessage(gue->body, aNow);
      return;
    }
    const auto header = Packet::ForwardHeader::parse(gue->privateData);
    if (!header.ok()) {
      recordMalformed(header.status());
      return;
    }
    const auto incoming = parseIncoming(gue->body, *header);
    if (incoming) {
      handleIncoming(*incoming, aNow);
    }
  }

  /** Handles a complete IPv4 packet from the backend server. */
  void handleBackendPacket(absl::Span<const std::uint8_t> aPacket,
                           Core::TimePoint aNow)
  {
    mNow = aNow;
    if (view() != nullptr) {
      mOwnerRole.handleBackendPacket(aPacket, aNow);
    }
  }

  void tick(Core::TimePoint aNow)
  {
    mNow = aNow;
    detectSuspension(aNow);
    mLastTickAt = aNow;
    if (view() == nullptr) {
      return;
    }
    mClaimRole.expire(aNow);
    if (aNow - mLastExpiryAt >= kExpiryInterval) {
      mLastExpiryAt = aNow;
      expire(aNow);
    }
    retryQueuedFlows(aNow);
    mLoadReporter.sendReportIfDue(mOwnerRole, aNow);
  }

private:
  static constexpr std::chrono::milliseconds kExpiryInterval{ 250 };
  /** A longer gap between two ticks means that the process was suspended. */
  static constexpr std::chrono::milliseconds kMaxTickGap{ 1'000 };

  void recordMalformed(const absl::Status& aStatus)
  {
    mContext.counters.increment(AgentCounter::PacketsMalformed);
    mContext.events.write(Telemetry::Event::MalformedPacket, aStatus.message());
  }

  /**
   * Detects a suspension of the process. The view must be confirmed afterwards
   * before new flows are admitted, since it may be out of date.
   */
  void detectSuspension(Core::TimePoint aNow)
  {
    const auto gap = aNow - mLastTickAt;
    if (gap <= kMaxTickGap) {
      return;
    }
    mLastTickAt = aNow;
    mContext.viewConfirmedAt = aNow - mContext.kViewLease - kMaxTickGap;
    mOwnerRole.recordSuspension(gap);
    mContext.peerLoads.recordSuspension(gap);
    mContext.events.write(
      Telemetry::Event::ProcessSlept,
      absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(gap).count(),
        " ms without a tick; no new flow until the view is confirmed"));
  }

  std::optional<IncomingPacket> parseIncoming(
    absl::Span<const std::uint8_t> aPacket,
    const Packet::ForwardHeader& aHeader)
  {
    const auto packet =
      Packet::PacketView::parse(aPacket, Packet::Verify::HeadersAndPayload);
    if (!packet.ok()) {
      recordMalformed(packet.status());
      return std::nullopt;
    }
    IncomingPacket incoming{
      *packet, aHeader, packet->flowFromCaller(), 0, {}
    };
    incoming.flowHash = mContext.hasher.hash(incoming.flow);
    incoming.classView =
      view()->findClass(packet->destination(), packet->protocol());
    const bool isServedHere =
      incoming.classView &&
      incoming.classView.service->service->identity == aHeader.service &&
      incoming.classView.service->indexOf(mContext.self.target).has_value();
    if (!isServedHere && !classifyByPreviousView(incoming)) {
      mContext.counters.increment(AgentCounter::PacketsWrongService);
      mContext.events.write(Telemetry::Event::WrongService,
                            Packet::formatFlowKey(incoming.flow));
      return std::nullopt;
    }
    return incoming;
  }

  /**
   * Classifies the packet by a previous view. A target that was removed from
   * the document still serves its open flows.
   */
  bool classifyByPreviousView(IncomingPacket& aIncoming) const
  {
    for (const auto& previousView : mContext.views.previous()) {
      const auto classView = previousView->findClass(
        aIncoming.packet.destination(), aIncoming.packet.protocol());
      if (classView && classView.service->indexOf(mContext.self.target) &&
          classView.service->service->identity == aIncoming.header.service) {
        aIncoming.classView = classView;
        return true;
      }
    }
    return false;
  }

  void handleIncoming(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    if (mOwnerRole.deliverIfOwned(aIncoming, aNow) ==
        DeliveryResult::Delivered) {
      return;
    }
    switch (aIncoming.header.purpose) {
      case Packet::ForwardPurpose::Deliver:
      case Packet::ForwardPurpose::ToHome:
        mHomeRole.handleUnowned(aIncoming, aNow);
        break;
      case Packet::ForwardPurpose::Assign:
        handleAssigned(aIncoming, aNow);
        break;
      case Packet::ForwardPurpose::Return:
        mHomeRole.handleReturned(aIncoming, aNow);
        break;
      case Packet::ForwardPurpose::Search:
        mPlacement.continueSearch(aIncoming);
        break;
    }
  }

  void handleAssigned(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    mLoadReporter.recordAssignment(aIncoming.header.home);
    const auto result = mOwnerRole.admit(aIncoming, aNow);
    if (result == AdmitResult::Unproven) {
      mPlacement.answerOutcomeUnknown(aIncoming.packet);
    }
    if (result != AdmitResult::Returned) {
      return;
    }
    mLoadReporter.sendReport(mOwnerRole, aNow);
    auto header = aIncoming.header;
    header.purpose = Packet::ForwardPurpose::Return;
    header.home = mContext.self.target;
    mContext.forward(
      mContext.endpointOf(aIncoming.header.home), header, aIncoming.packet);
  }

  void handleControlMessage(absl::Span<const std::uint8_t> aBody,
                            Core::TimePoint aNow)
  {
    Messages::PeerMessage message;
    if (!message.ParseFromArray(aBody.data(), static_cast<int>(aBody.size()))) {
      recordMalformed(
        absl::InvalidArgumentError("peer message cannot be parsed"));
      return;
    }
    switch (message.content_case()) {
      case Messages::PeerMessage::kOwnerNotice:
        mPlacement.recordOwner(
          Messages::readFlow(message.owner_notice().flow()),
          message.owner_notice().owner(),
          aNow);
        break;
      case Messages::PeerMessage::kLoadReport:
        mContext.counters.increment(AgentCounter::LoadReportsReceived);
        mContext.peerLoads.update(message.load_report(), aNow);
        break;
      case Messages::PeerMessage::kClaimRequest:
        mClaimRole.handleRequest(message.claim_request(), aNow);
        break;
      case Messages::PeerMessage::kClaimReply:
        mClaimRole.handleReply(message.claim_reply(), aNow);
        break;
      case Messages::PeerMessage::CONTENT_NOT_SET:
        recordMalformed(
          absl::InvalidArgumentError("peer message has no content"));
        break;
    }
  }

  void retryQueuedFlows(Core::TimePoint aNow)
  {
    mHomeRole.retryQueuedFlows(
      [this](const QueuedFlow& aFlow) {
        return parseIncoming(aFlow.packet, aFlow.header);
      },
      aNow);
  }

  void expire(Core::TimePoint aNow)
  {
    mOwnerRole.expire(aNow);
    mPlacement.expire(aNow);
    mContext.views.discardReplacedBefore(
      aNow - mContext.replayWindow(),
      [this](const Routing::FleetView& aView) { return isViewInUse(aView); });
  }

  /**
   * True while a target of the current document may still use the view: its
   * last load report is of the view's revision or an older one.
   */
  bool isViewInUse(const Routing::FleetView& aView) const
  {
    const auto* service = aView.serviceOfTarget(mContext.self.target);
    if (service == nullptr) {
      return false;
    }
    for (const auto& targetEntry : service->targets) {
      const auto identity = targetEntry.target->identity;
      const bool isInDocument = view()->findTarget(identity) != nullptr;
      const auto* peerLoad = mContext.peerLoads.find(identity);
      if (isInDocument && peerLoad != nullptr &&
          peerLoad->revision <= aView.revision()) {
        return true;
      }
    }
    return false;
  }

  /**
   * True if the view has the same targets in this agent's service as the
   * current view. Both then select the same homes and peers, so that the
   * current view need not be kept for searches and quorums.
   */
  bool hasSameTargets(const Routing::FleetView& aView) const
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
                      [](const auto& aBefore, const auto& aAfter) {
                        return aBefore.target->identity ==
                               aAfter.target->identity;
                      });
  }

  AgentContext<Output> mContext;
  OwnerRole<Output> mOwnerRole;
  Placement<Output> mPlacement;
  ClaimRole<Output> mClaimRole;
  HomeRole<Output> mHomeRole;
  LoadReporter<Output> mLoadReporter;
  Core::TimePoint mLastExpiryAt{};
  Core::TimePoint mLastTickAt;
  /** Time of the current call, for the handler of proven claims. */
  Core::TimePoint mNow{};
};

} // namespace Ownership
