#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/ownerdirectory.h"
#include "ownership/ownerrole.h"
#include "ownership/searchroute.h"
#include "packet/packetbuilder.h"

#include <algorithm>
#include <chrono>

namespace Ownership {

/** Result of placing a flow. */
enum class PlaceResult
{
  Placed,
  /** The owner is this agent and has no capacity left. */
  NoCapacity,
};

/**
 * Carries out the decisions of a home: records the owner of a flow and
 * forwards the flow to it, searches for the owner, or refuses the flow.
 */
template<AgentOutput Output>
class Placement
{
public:
  Placement(AgentContext<Output>& aContext, OwnerRole<Output>& aOwnerRole)
    : mContext(aContext)
    , mOwnerRole(aOwnerRole)
  {
  }

  Config::Identity recordedOwner(const Packet::FlowKey& aFlow,
                                 Core::TimePoint aNow)
  {
    return mDirectory.find(aFlow, aNow);
  }

  void recordOwner(const Packet::FlowKey& aFlow,
                   Config::Identity aOwner,
                   Core::TimePoint aNow)
  {
    mDirectory.insert(aFlow, aOwner, aNow);
  }

  void removeOwner(const Packet::FlowKey& aFlow) { mDirectory.erase(aFlow); }

  /** Assigns the flow to aOwner, which may be this agent. */
  PlaceResult place(IncomingPacket aIncoming,
                    Config::Identity aOwner,
                    Core::TimePoint aNow)
  {
    mDirectory.insert(aIncoming.flow, aOwner, aNow);
    aIncoming.header.purpose = Packet::ForwardPurpose::Assign;
    aIncoming.header.claimer = mContext.self.claimer;
    aIncoming.header.home = mContext.self.target;
    if (aOwner != mContext.self.target) {
      mContext.peerLoads.recordAssignment(aOwner, aNow);
      mContext.forward(
        mContext.endpointOf(aOwner), aIncoming.header, aIncoming.packet);
      return PlaceResult::Placed;
    }
    const auto result = mOwnerRole.admit(aIncoming, aNow);
    if (result == AdmitResult::Returned) {
      mDirectory.erase(aIncoming.flow);
      return PlaceResult::NoCapacity;
    }
    if (result == AdmitResult::Unproven) {
      answerOutcomeUnknown(aIncoming.packet);
    }
    return PlaceResult::Placed;
  }

  /** The agents that a search by any of the flow's homes reaches. */
  SearchRoute commonSearchRoute(const IncomingPacket& aIncoming,
                                Core::TimePoint aNow) const
  {
    auto request = makeSearchRequest(aIncoming, aNow);
    // The routes of other homes contain this agent and are that much shorter.
    request.self = 0;
    return findSearchRoute(mContext.views, request);
  }

  /** Sends the packet from agent to agent until the owner is found. */
  void search(IncomingPacket aIncoming, Core::TimePoint aNow)
  {
    auto request = makeSearchRequest(aIncoming, aNow);
    request.recordedOwner = mDirectory.find(aIncoming.flow, aNow);
    request.rotation = mSearchCount++;
    const auto route = findSearchRoute(mContext.views, request);
    aIncoming.header.purpose = Packet::ForwardPurpose::Search;
    aIncoming.header.home = mContext.self.target;
    aIncoming.header.route.assign(route.begin(), route.end());
    mContext.counters.increment(AgentCounter::FlowsSearched);
    continueSearch(aIncoming);
  }

  /** Forwards a search to the next agent, or ends it after the last one. */
  void continueSearch(IncomingPacket aIncoming)
  {
    auto& route = aIncoming.header.route;
    if (!route.empty()) {
      const auto next = route.front();
      route.erase(route.begin());
      mContext.forward(next, aIncoming.header, aIncoming.packet);
      return;
    }
    endSearch(aIncoming);
  }

  /**
   * Answers in the caller's own protocol that the flow did not run, and
   * notifies the balancer that the home is responsive.
   */
  void refuse(const IncomingPacket& aIncoming)
  {
    mContext.output.sendToCaller(Packet::buildRefusal(aIncoming.packet));
    mContext.counters.increment(AgentCounter::FlowsRefused);
    mContext.events.write(Telemetry::Event::FlowRefused,
                          Packet::formatFlowKey(aIncoming.flow));
    sendHomeNotice(aIncoming);
  }

  /** Answers that it is unknown whether the flow ran. */
  void answerOutcomeUnknown(const Packet::PacketView& aPacket)
  {
    mContext.counters.increment(AgentCounter::ClaimsUnproven);
    mContext.events.write(Telemetry::Event::ClaimUnproven,
                          Packet::formatFlowKey(aPacket.flowFromCaller()));
    mContext.output.sendToCaller(Packet::buildOutcomeUnknown(aPacket));
  }

  /** Notifies the balancer that the home has the flow but no owner yet. */
  void sendHomeNotice(const IncomingPacket& aIncoming)
  {
    if (!aIncoming.header.wantsOwnerNotice) {
      return;
    }
    Messages::PeerMessage message;
    auto& notice = *message.mutable_owner_notice();
    Messages::writeFlow(aIncoming.flow, *notice.mutable_flow());
    notice.set_home(mContext.self.target);
    notice.set_revision(mContext.views.current()->revision());
    mContext.sendMessage(aIncoming.header.origin, message);
  }

  void expire(Core::TimePoint aNow)
  {
    const auto retention = std::max<std::chrono::nanoseconds>(
      kOwnerRetention, mContext.replayWindow());
    mDirectory.eraseUnusedSince(aNow - retention);
  }

private:
  /** Minimum time for which an unused directory entry is kept. */
  static constexpr std::chrono::minutes kOwnerRetention{ 10 };

  SearchRequest makeSearchRequest(const IncomingPacket& aIncoming,
                                  Core::TimePoint aNow) const
  {
    SearchRequest request;
    request.service = aIncoming.classView.service->service->identity;
    request.flowHash = aIncoming.flowHash;
    request.self = mContext.self.target;
    request.isUnresponsive = [this, aNow](Config::Identity aTarget) {
      return mContext.peerLoads.find(aTarget) != nullptr &&
             !mContext.peerLoads.isResponsive(aTarget, aNow);
    };
    return request;
  }

  void endSearch(IncomingPacket& aIncoming)
  {
    if (aIncoming.needsClaim()) {
      mContext.counters.increment(AgentCounter::ClaimsUnproven);
      mContext.output.sendToCaller(
        Packet::buildOutcomeUnknown(aIncoming.packet));
      return;
    }
    if (aIncoming.mayStartFlow()) {
      // No agent owns the flow, so that its home may place it again.
      aIncoming.header.purpose = Packet::ForwardPurpose::Return;
      const auto home = aIncoming.header.home;
      aIncoming.header.home = 0;
      mContext.forward(
        mContext.endpointOf(home), aIncoming.header, aIncoming.packet);
      return;
    }
    mContext.counters.increment(AgentCounter::FlowsNotFound);
    mContext.events.write(Telemetry::Event::FlowNotFound,
                          Packet::formatFlowKey(aIncoming.flow));
    if (!aIncoming.packet.hasFlag(Packet::kTcpRst)) {
      mContext.output.sendToCaller(Packet::buildRefusal(aIncoming.packet));
    }
  }

  AgentContext<Output>& mContext;
  OwnerRole<Output>& mOwnerRole;
  OwnerDirectory mDirectory;
  std::size_t mSearchCount = 0;
};

} // namespace Ownership
