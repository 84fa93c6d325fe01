#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/ownerside.h"
#include "ownership/placement.h"
#include "ownership/proposal.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace Ownership {

/**
 * Makes sure that a flow which must not run twice has one owner, whatever
 * the views, cuts and restarts. A flow is delivered only with the consent of
 * a quorum of every view that may still be acted on: its home and one peer,
 * or all peers. A home that remembers the whole replay window needs to ask
 * nobody, since the owner that it chooses is the peer that consents.
 */
template<AgentPort Port>
class ClaimSide
{
public:
  using Complete = std::function<
    void(const Packet::Bytes&, const Packet::ForwardHeader&, Config::Identity)>;

  ClaimSide(AgentContext<Port>& aContext,
            OwnerSide<Port>& aOwnerSide,
            Placement<Port>& aPlacement)
    : mContext(aContext)
    , mOwnerSide(aOwnerSide)
    , mPlacement(aPlacement)
  {
  }

  /** Called for a flow whose claim is proven; owner 0 means refusal. */
  void setComplete(Complete aComplete) { mComplete = std::move(aComplete); }

  /**
   * Starts to claim the flow for aOwner; completes at once where it can.
   * Without an owner the flow is refused once it is proven that it did not
   * run and that it never will.
   */
  void propose(const Arrival& aArrival,
               Config::Identity aOwner,
               Core::TimePoint aNow)
  {
    if (mProposals.contains(aArrival.flow)) {
      return;
    }
    auto proposal = makeProposal(aArrival, aOwner);
    if (answersFromMemory(aArrival, proposal)) {
      return;
    }
    mContext.claims.record(aArrival.flow, mContext.self.claimer, aOwner, aNow);
    proposal.deadline = aNow + kClaimTimeout;
    proposal.quorums = quorumsOf(aArrival);
    if (mContext.isComplete(aNow)) {
      proposal.granted.insert(mContext.self.target);
    }
    if (isProvenByOwner(proposal)) {
      finish(proposal, aArrival.flow, aNow);
      return;
    }
    ask(aArrival, proposal);
    const auto& kept =
      mProposals.emplace(aArrival.flow, std::move(proposal)).first->second;
    if (kept.isProven()) {
      complete(aArrival.flow, aNow);
    }
  }

  void handleRequest(const Messages::ClaimRequest& aRequest,
                     Core::TimePoint aNow)
  {
    const auto flow = Messages::readFlow(aRequest.flow());
    Messages::PeerMessage message;
    auto& reply = *message.mutable_claim_reply();
    *reply.mutable_flow() = aRequest.flow();
    reply.set_participant(mContext.self.target);
    if (mOwnerSide.owns(flow)) {
      reply.set_verdict(Messages::ClaimReply::DENIED);
      reply.set_owner(mContext.self.target);
    } else {
      const auto& claim = mContext.claims.record(
        flow, aRequest.claimer(), aRequest.owner(), aNow);
      reply.set_verdict(verdictOf(claim, aRequest.claimer(), aNow));
      reply.set_owner(claim.owner);
    }
    const bool isGranted = reply.verdict() == Messages::ClaimReply::GRANTED;
    mContext.counters.increment(isGranted ? AgentCounter::ClaimsGranted
                                          : AgentCounter::ClaimsDenied);
    mContext.sendMessage(mContext.endpointOf(aRequest.claimer_target()),
                         message);
  }

  void handleReply(const Messages::ClaimReply& aReply, Core::TimePoint aNow)
  {
    const auto flow = Messages::readFlow(aReply.flow());
    const auto it = mProposals.find(flow);
    // Consent that comes later may have been forgotten by who gave it.
    if (it == mProposals.end() || it->second.deadline <= aNow) {
      return;
    }
    if (aReply.verdict() == Messages::ClaimReply::GRANTED) {
      it->second.granted.insert(aReply.participant());
      if (it->second.isProven()) {
        complete(flow, aNow);
      }
      return;
    }
    if (aReply.verdict() == Messages::ClaimReply::DENIED) {
      const auto proposal = std::move(it->second);
      mProposals.erase(it);
      mContext.claims.releaseOwner(flow, mContext.self.claimer);
      forwardProposal(proposal, aReply.owner());
    }
  }

  /** Gives up on the proposals that are due. */
  void expire(Core::TimePoint aNow)
  {
    std::vector<Proposal> expired;
    for (auto it = mProposals.begin(); it != mProposals.end();) {
      const auto current = it++;
      if (current->second.deadline <= aNow) {
        mContext.claims.releaseOwner(current->first, mContext.self.claimer);
        expired.push_back(std::move(current->second));
        mProposals.erase(current);
      }
    }
    for (const auto& it : expired) {
      giveUp(it);
    }
    mContext.claims.eraseMadeBefore(aNow - mContext.replayWindow());
  }

private:
  static constexpr std::chrono::milliseconds kClaimTimeout{ 300 };

  static Proposal makeProposal(const Arrival& aArrival, Config::Identity aOwner)
  {
    Proposal proposal;
    const auto bytes = aArrival.packet.bytes();
    proposal.packet.assign(bytes.begin(), bytes.end());
    proposal.header = aArrival.header;
    proposal.owner = aOwner;
    return proposal;
  }

  /** True when what is remembered of the flow decides about it. */
  bool answersFromMemory(const Arrival& aArrival, const Proposal& aProposal)
  {
    const auto* claim = mContext.claims.find(aArrival.flow);
    if (claim == nullptr) {
      return false;
    }
    if (claim->isRefused) {
      mPlacement.refuse(aArrival);
      return true;
    }
    const bool isForeign =
      claim->claimer != 0 && claim->claimer != mContext.self.claimer;
    const bool hasOtherOwner =
      claim->owner != 0 && claim->owner != aProposal.owner;
    if (isForeign || hasOtherOwner) {
      forwardProposal(aProposal, claim->owner);
      return true;
    }
    return false;
  }

  std::vector<Quorum> quorumsOf(const Arrival& aArrival) const
  {
    std::vector<Quorum> quorums;
    addQuorum(*mContext.views.current(), aArrival, quorums);
    for (const auto& it : mContext.views.earlier()) {
      addQuorum(*it, aArrival, quorums);
    }
    return quorums;
  }

  void addQuorum(const Routing::FleetView& aView,
                 const Arrival& aArrival,
                 std::vector<Quorum>& aQuorums) const
  {
    const auto* service =
      aView.findService(aArrival.classView.service->service->identity);
    const auto homes = service == nullptr
                         ? Routing::HomeRing::Homes{}
                         : service->ring.homes(aArrival.flowHash);
    if (homes.empty()) {
      return;
    }
    Quorum quorum;
    quorum.home = service->targets[homes[0]].target->identity;
    for (const auto peer : service->ring.peers(homes[0])) {
      quorum.peers.push_back(service->targets[peer].target->identity);
    }
    aQuorums.push_back(std::move(quorum));
  }

  /**
   * True when this agent and the owner are a quorum of every view: then the
   * assignment itself is the owner's chance to consent.
   */
  bool isProvenByOwner(const Proposal& aProposal) const
  {
    auto granted = aProposal.granted;
    const bool isElsewhere =
      aProposal.owner != 0 && aProposal.owner != mContext.self.target;
    if (isElsewhere) {
      granted.insert(aProposal.owner);
    }
    Proposal assumed;
    assumed.quorums = aProposal.quorums;
    assumed.granted = std::move(granted);
    return assumed.isProven();
  }

  void ask(const Arrival& aArrival, const Proposal& aProposal)
  {
    Messages::PeerMessage message;
    auto& request = *message.mutable_claim_request();
    Messages::writeFlow(aArrival.flow, *request.mutable_flow());
    request.set_claimer_target(mContext.self.target);
    request.set_claimer(mContext.self.claimer);
    request.set_owner(aProposal.owner);
    for (const auto participant : aProposal.participants()) {
      if (participant != mContext.self.target) {
        mContext.sendMessage(mContext.endpointOf(participant), message);
      }
    }
  }

  Messages::ClaimReply::Verdict verdictOf(const Claim& aClaim,
                                          Claimer aClaimer,
                                          Core::TimePoint aNow) const
  {
    if (aClaim.claimer != aClaimer) {
      return Messages::ClaimReply::DENIED;
    }
    return mContext.isComplete(aNow) ? Messages::ClaimReply::GRANTED
                                     : Messages::ClaimReply::INCOMPLETE;
  }

  void complete(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
  {
    const auto it = mProposals.find(aFlow);
    const auto proposal = std::move(it->second);
    mProposals.erase(it);
    finish(proposal, aFlow, aNow);
  }

  void finish(const Proposal& aProposal,
              const Packet::FlowKey& aFlow,
              Core::TimePoint aNow)
  {
    if (aProposal.owner == 0) {
      mContext.claims.markRefused(aFlow, aNow);
    }
    mComplete(aProposal.packet, aProposal.header, aProposal.owner);
  }

  /**
   * Lets the owner on record have the packet if it has the flow. It must not
   * admit it for this, since the other claim may not be proven.
   */
  void forwardProposal(const Proposal& aProposal, Config::Identity aOwner)
  {
    const auto packet =
      Packet::PacketView::parse(aProposal.packet, Packet::Verify::Headers);
    if (!packet.ok()) {
      return;
    }
    auto header = aProposal.header;
    header.purpose = Packet::ForwardPurpose::Search;
    header.home = 0;
    header.route.clear();
    mContext.forward(mContext.endpointOf(aOwner), header, *packet);
  }

  /** Says that the outcome is unknown, not that nothing ran. */
  void giveUp(const Proposal& aProposal)
  {
    const auto packet =
      Packet::PacketView::parse(aProposal.packet, Packet::Verify::Headers);
    if (packet.ok()) {
      mPlacement.answerUnknown(*packet);
    }
  }

  AgentContext<Port>& mContext;
  OwnerSide<Port>& mOwnerSide;
  Placement<Port>& mPlacement;
  Complete mComplete;
  /** Ordered, so that equal runs give up in equal order. */
  std::map<Packet::FlowKey, Proposal> mProposals;
};

} // namespace Ownership
