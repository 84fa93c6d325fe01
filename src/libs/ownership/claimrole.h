#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/ownerrole.h"
#include "ownership/placement.h"
#include "ownership/proposal.h"

#include <chrono>
#include <functional>
#include <map>
#include <vector>

namespace Ownership {

/**
 * Ensures that a flow of a non-idempotent class has only one owner, also when
 * views differ, the network is partitioned or agents restart. A flow is
 * delivered only if a quorum of every view that may still be in use granted
 * the claim: its home and one peer, or all peers. A home that has its full
 * history needs no claim request: the owner that it chooses is the peer that
 * grants the claim.
 */
template<AgentOutput Output>
class ClaimRole
{
public:
  using ClaimProvenHandler = std::function<
    void(const Packet::Bytes&, const Packet::ForwardHeader&, Config::Identity)>;

  ClaimRole(AgentContext<Output>& aContext,
            OwnerRole<Output>& aOwnerRole,
            Placement<Output>& aPlacement)
    : mContext(aContext)
    , mOwnerRole(aOwnerRole)
    , mPlacement(aPlacement)
  {
  }

  /** The handler is called for each proven claim; owner 0 means refusal. */
  void setClaimProvenHandler(ClaimProvenHandler aHandler)
  {
    mClaimProvenHandler = std::move(aHandler);
  }

  /**
   * Claims the flow for aOwner; completes synchronously if no request is
   * needed. With aOwner 0 the flow is refused once it is proven that it did
   * not run and never will.
   */
  void propose(const IncomingPacket& aIncoming,
               Config::Identity aOwner,
               Core::TimePoint aNow)
  {
    if (mProposals.contains(aIncoming.flow)) {
      return;
    }
    auto proposal = makeProposal(aIncoming, aOwner);
    if (decideFromClaim(aIncoming, proposal)) {
      return;
    }
    mContext.claims.record(aIncoming.flow, mContext.self.claimer, aOwner, aNow);
    proposal.deadline = aNow + kClaimTimeout;
    proposal.quorums = quorumsOf(aIncoming);
    if (mContext.hasFullHistory(aNow)) {
      proposal.grantedBy.insert(mContext.self.target);
    }
    if (isProvenWithOwner(proposal)) {
      finishProposal(proposal, aIncoming.flow, aNow);
      return;
    }
    sendClaimRequests(aIncoming, proposal);
    const auto& stored =
      mProposals.emplace(aIncoming.flow, std::move(proposal)).first->second;
    if (stored.isProven()) {
      finishPendingProposal(aIncoming.flow, aNow);
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
    if (mOwnerRole.owns(flow)) {
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
    // A grant after the deadline does not count, since the participant may
    // have removed the claim already.
    if (it == mProposals.end() || it->second.deadline <= aNow) {
      return;
    }
    if (aReply.verdict() == Messages::ClaimReply::GRANTED) {
      it->second.grantedBy.insert(aReply.participant());
      if (it->second.isProven()) {
        finishPendingProposal(flow, aNow);
      }
      return;
    }
    if (aReply.verdict() == Messages::ClaimReply::DENIED) {
      const auto proposal = std::move(it->second);
      mProposals.erase(it);
      mContext.claims.clearOwner(flow, mContext.self.claimer);
      forwardProposal(proposal, aReply.owner());
    }
  }

  /** Ends expired proposals and removes claims after the replay window. */
  void expire(Core::TimePoint aNow)
  {
    std::vector<Proposal> expired;
    for (auto it = mProposals.begin(); it != mProposals.end();) {
      const auto current = it++;
      if (current->second.deadline <= aNow) {
        mContext.claims.clearOwner(current->first, mContext.self.claimer);
        expired.push_back(std::move(current->second));
        mProposals.erase(current);
      }
    }
    for (const auto& proposal : expired) {
      answerExpired(proposal);
    }
    mContext.claims.eraseRecordedBefore(aNow - mContext.replayWindow());
  }

private:
  static constexpr std::chrono::milliseconds kClaimTimeout{ 300 };

  static Proposal makeProposal(const IncomingPacket& aIncoming,
                               Config::Identity aOwner)
  {
    Proposal proposal;
    const auto bytes = aIncoming.packet.bytes();
    proposal.packet.assign(bytes.begin(), bytes.end());
    proposal.header = aIncoming.header;
    proposal.owner = aOwner;
    return proposal;
  }

  /** Handles the packet and returns true if a recorded claim decides it. */
  bool decideFromClaim(const IncomingPacket& aIncoming,
                       const Proposal& aProposal)
  {
    const auto* claim = mContext.claims.find(aIncoming.flow);
    if (claim == nullptr) {
      return false;
    }
    if (claim->isRefused) {
      mPlacement.refuse(aIncoming);
      return true;
    }
    const bool isOtherClaimer =
      claim->claimer != 0 && claim->claimer != mContext.self.claimer;
    const bool hasOtherOwner =
      claim->owner != 0 && claim->owner != aProposal.owner;
    if (isOtherClaimer || hasOtherOwner) {
      forwardProposal(aProposal, claim->owner);
      return true;
    }
    return false;
  }

  std::vector<Quorum> quorumsOf(const IncomingPacket& aIncoming) const
  {
    std::vector<Quorum> quorums;
    addQuorum(*mContext.views.current(), aIncoming, quorums);
    for (const auto& view : mContext.views.previous()) {
      addQuorum(*view, aIncoming, quorums);
    }
    return quorums;
  }

  void addQuorum(const Routing::FleetView& aView,
                 const IncomingPacket& aIncoming,
                 std::vector<Quorum>& aQuorums) const
  {
    const auto* service =
      aView.findService(aIncoming.classView.service->service->identity);
    const auto homes = service == nullptr
                         ? Routing::HomeSelector::Homes{}
                         : service->homeSelector.homes(aIncoming.flowHash);
    if (homes.empty()) {
      return;
    }
    Quorum quorum;
    quorum.home = service->targets[homes[0]].target->identity;
    for (const auto peerIndex : service->homeSelector.peers(homes[0])) {
      quorum.peers.push_back(service->targets[peerIndex].target->identity);
    }
    aQuorums.push_back(std::move(quorum));
  }

  /**
   * True if this agent and the owner form a quorum of every view. The owner
   * then grants the claim by admitting the assigned flow, without a request.
   */
  bool isProvenWithOwner(const Proposal& aProposal) const
  {
    auto grantedBy = aProposal.grantedBy;
    const bool isOwnerRemote =
      aProposal.owner != 0 && aProposal.owner != mContext.self.target;
    if (isOwnerRemote) {
      grantedBy.insert(aProposal.owner);
    }
    Proposal assumed;
    assumed.quorums = aProposal.quorums;
    assumed.grantedBy = std::move(grantedBy);
    return assumed.isProven();
  }

  void sendClaimRequests(const IncomingPacket& aIncoming,
                         const Proposal& aProposal)
  {
    Messages::PeerMessage message;
    auto& request = *message.mutable_claim_request();
    Messages::writeFlow(aIncoming.flow, *request.mutable_flow());
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
                                          ClaimerId aClaimer,
                                          Core::TimePoint aNow) const
  {
    if (aClaim.claimer != aClaimer) {
      return Messages::ClaimReply::DENIED;
    }
    return mContext.hasFullHistory(aNow) ? Messages::ClaimReply::GRANTED
                                         : Messages::ClaimReply::INCOMPLETE;
  }

  void finishPendingProposal(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
  {
    const auto it = mProposals.find(aFlow);
    const auto proposal = std::move(it->second);
    mProposals.erase(it);
    finishProposal(proposal, aFlow, aNow);
  }

  void finishProposal(const Proposal& aProposal,
                      const Packet::FlowKey& aFlow,
                      Core::TimePoint aNow)
  {
    if (aProposal.owner == 0) {
      mContext.claims.markRefused(aFlow, aNow);
    }
    mClaimProvenHandler(aProposal.packet, aProposal.header, aProposal.owner);
  }

  /**
   * Forwards the packet to the recorded owner, which delivers it if it has the
   * flow. It is sent as a search, because the owner must not admit the flow:
   * the other claim may not be proven.
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

  /**
   * Answers that the outcome is unknown. The flow may have run, so that it
   * must not be refused.
   */
  void answerExpired(const Proposal& aProposal)
  {
    const auto packet =
      Packet::PacketView::parse(aProposal.packet, Packet::Verify::Headers);
    if (packet.ok()) {
      mPlacement.answerOutcomeUnknown(*packet);
    }
  }

  AgentContext<Output>& mContext;
  OwnerRole<Output>& mOwnerRole;
  Placement<Output>& mPlacement;
  ClaimProvenHandler mClaimProvenHandler;
  /** The pending proposals; ordered, so that expiry is deterministic. */
  std::map<Packet::FlowKey, Proposal> mProposals;
};

} // namespace Ownership
