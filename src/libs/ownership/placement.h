#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/ownerdirectory.h"
#include "ownership/ownerside.h"
#include "ownership/searchroute.h"
#include "packet/packetbuilder.h"

#include <algorithm>
#include <chrono>

namespace Ownership {

/** What became of a flow that a home placed with an owner. */
enum class PlaceResult
{
  Placed,
  /** The owner is this agent, and it has no room after all. */
  NoRoom,
};

/**
 * Carries out what a home decided: remembers the owner and hands the flow to
 * it, searches for an owner, or refuses the flow.
 */
template<AgentPort Port>
class Placement
{
public:
  Placement(AgentContext<Port>& aContext, OwnerSide<Port>& aOwnerSide)
    : mContext(aContext)
    , mOwnerSide(aOwnerSide)
  {
  }

  Config::Identity knownOwner(const Packet::FlowKey& aFlow,
                              Core::TimePoint aNow)
  {
    return mDirectory.find(aFlow, aNow);
  }

  void noteOwner(const Packet::FlowKey& aFlow,
                 Config::Identity aOwner,
                 Core::TimePoint aNow)
  {
    mDirectory.insert(aFlow, aOwner, aNow);
  }

  void forgetOwner(const Packet::FlowKey& aFlow) { mDirectory.erase(aFlow); }

  /** Gives the flow to aOwner, which may be this agent. */
  PlaceResult place(Arrival aArrival,
                    Config::Identity aOwner,
                    Core::TimePoint aNow)
  {
    mDirectory.insert(aArrival.flow, aOwner, aNow);
    aArrival.header.purpose = Packet::ForwardPurpose::Assign;
    aArrival.header.claimer = mContext.self.claimer;
    aArrival.header.home = mContext.self.target;
    if (aOwner != mContext.self.target) {
      mContext.board.noteAssigned(aOwner, aNow);
      mContext.forward(
        mContext.endpointOf(aOwner), aArrival.header, aArrival.packet);
      return PlaceResult::Placed;
    }
    const auto result = mOwnerSide.admit(aArrival, aNow);
    if (result == AdmitResult::Returned) {
      mDirectory.erase(aArrival.flow);
      return PlaceResult::NoRoom;
    }
    if (result == AdmitResult::Unproven) {
      answerUnknown(aArrival.packet);
    }
    return PlaceResult::Placed;
  }

  /** Sends the packet along the agents that may own its flow. */
  void search(Arrival aArrival, Core::TimePoint aNow)
  {
    SearchRequest request;
    request.service = aArrival.classView.service->service->identity;
    request.flowHash = aArrival.flowHash;
    request.self = mContext.self.target;
    request.knownOwner = mDirectory.find(aArrival.flow, aNow);
    request.rotation = mSearches++;
    request.isDead = [this, aNow](Config::Identity aTarget) {
      return mContext.board.find(aTarget) != nullptr &&
             !mContext.board.isAlive(aTarget, aNow);
    };
    const auto route = findSearchRoute(mContext.views, request);
    aArrival.header.purpose = Packet::ForwardPurpose::Search;
    aArrival.header.home = mContext.self.target;
    aArrival.header.route.assign(route.begin(), route.end());
    mContext.counters.increment(AgentCounter::FlowsSearched);
    passOnSearch(aArrival);
  }

  /** Hands a search to the next agent, or ends it. */
  void passOnSearch(Arrival aArrival)
  {
    auto& route = aArrival.header.route;
    if (!route.empty()) {
      const auto next = route.front();
      route.erase(route.begin());
      mContext.forward(next, aArrival.header, aArrival.packet);
      return;
    }
    endSearch(aArrival);
  }

  /**
   * Answers in the caller's own protocol that nothing of the flow ran, and
   * tells the balancer that its home is alive.
   */
  void refuse(const Arrival& aArrival)
  {
    mContext.port.sendToCaller(Packet::buildRefusal(aArrival.packet));
    mContext.counters.increment(AgentCounter::FlowsRefused);
    mContext.events.write(Telemetry::Event::FlowRefused,
                          Packet::formatFlowKey(aArrival.flow));
    acknowledge(aArrival);
  }

  /** Answers at once that it is not known whether the flow ran. */
  void answerUnknown(const Packet::PacketView& aPacket)
  {
    mContext.counters.increment(AgentCounter::ClaimsUnproven);
    mContext.events.write(Telemetry::Event::ClaimUnproven,
                          Packet::formatFlowKey(aPacket.flowToService()));
    mContext.port.sendToCaller(Packet::buildOutcomeUnknown(aPacket));
  }

  /** Tells the balancer that the home has the flow and no owner yet. */
  void acknowledge(const Arrival& aArrival)
  {
    if (!aArrival.header.wantsNotice) {
      return;
    }
    Messages::PeerMessage message;
    auto& notice = *message.mutable_owner_notice();
    Messages::writeFlow(aArrival.flow, *notice.mutable_flow());
    notice.set_home(mContext.self.target);
    notice.set_revision(mContext.views.current()->revision());
    mContext.sendMessage(aArrival.header.origin, message);
  }

  void expire(Core::TimePoint aNow)
  {
    const auto memory =
      std::max<std::chrono::nanoseconds>(kMemory, mContext.replayWindow());
    mDirectory.eraseUnusedSince(aNow - memory);
  }

private:
  static constexpr std::chrono::minutes kMemory{ 10 };

  void endSearch(Arrival& aArrival)
  {
    if (aArrival.needsClaim()) {
      mContext.counters.increment(AgentCounter::ClaimsUnproven);
      mContext.port.sendToCaller(Packet::buildOutcomeUnknown(aArrival.packet));
      return;
    }
    if (aArrival.mayOpen()) {
      // Nobody owns it, so that its home may place it anew.
      aArrival.header.purpose = Packet::ForwardPurpose::Return;
      const auto home = aArrival.header.home;
      aArrival.header.home = 0;
      mContext.forward(
        mContext.endpointOf(home), aArrival.header, aArrival.packet);
      return;
    }
    mContext.counters.increment(AgentCounter::FlowsNotFound);
    mContext.events.write(Telemetry::Event::FlowNotFound,
                          Packet::formatFlowKey(aArrival.flow));
    if (!aArrival.packet.hasFlag(Packet::kTcpRst)) {
      mContext.port.sendToCaller(Packet::buildRefusal(aArrival.packet));
    }
  }

  AgentContext<Port>& mContext;
  OwnerSide<Port>& mOwnerSide;
  OwnerDirectory mDirectory;
  std::size_t mSearches = 0;
};

} // namespace Ownership
