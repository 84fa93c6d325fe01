#pragma once

#include "ownership/agentcontext.h"
#include "ownership/claimrole.h"
#include "ownership/flowqueue.h"
#include "ownership/ownerrole.h"
#include "ownership/placement.h"
#include "ownership/targetchoice.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Ownership {

/**
 * Handles flows for which this agent is the home agent, the agent that a hash
 * picks to coordinate a flow. It chooses the owner of a new flow among itself
 * and its peers, and finds the owner of an existing one.
 */
template<AgentOutput Output>
class HomeRole
{
public:
  HomeRole(AgentContext<Output>& aContext,
           OwnerRole<Output>& aOwnerRole,
           Placement<Output>& aPlacement,
           ClaimRole<Output>& aClaimRole)
    : mContext(aContext)
    , mOwnerRole(aOwnerRole)
    , mPlacement(aPlacement)
    , mClaimRole(aClaimRole)
  {
  }

  /**
   * Handles a packet whose flow this agent does not own. Forwards it to the
   * flow's home; if that is this agent, places a new flow or searches for the
   * owner of an existing one.
   */
  void handleUnowned(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    const auto next = firstUsableHome(aIncoming, aNow);
    if (next != mContext.self.target) {
      auto header = aIncoming.header;
      header.purpose = Packet::ForwardPurpose::ToHome;
      mContext.forward(mContext.endpointOf(next), header, aIncoming.packet);
      return;
    }
    if (aIncoming.mayStartFlow()) {
      openFlow(aIncoming, aNow);
    } else {
      mPlacement.search(aIncoming, aNow);
    }
  }

  /**
   * Places a flow again that the agent it was assigned to has returned, and
   * excludes that agent. After a search that found no owner, header.home is 0
   * and no agent is excluded.
   */
  void handleReturned(IncomingPacket aIncoming, Core::TimePoint aNow)
  {
    const auto returnedBy = aIncoming.header.home;
    auto& excluded = aIncoming.header.route;
    if (returnedBy == 0) {
      excluded.clear();
    } else if (excluded.size() < Packet::ForwardHeader::kMaxRouteLength) {
      excluded.push_back(mContext.endpointOf(returnedBy));
    }
    if (mPlacement.recordedOwner(aIncoming.flow, aNow) == returnedBy) {
      mPlacement.removeOwner(aIncoming.flow);
      mContext.claims.clearOwner(aIncoming.flow, mContext.self.claimer);
    }
    chooseAndPlace(aIncoming, aNow);
  }

  /**
   * Places a flow that needs no claim or whose claim is proven; refuses it if
   * aOwner is 0.
   */
  void placeOrRefuse(const IncomingPacket& aIncoming,
                     Config::Identity aOwner,
                     Core::TimePoint aNow)
  {
    if (aOwner == 0) {
      mPlacement.refuse(aIncoming);
      return;
    }
    if (mPlacement.place(aIncoming, aOwner, aNow) == PlaceResult::NoCapacity) {
      // Does not recurse further: without capacity this agent is no candidate.
      mContext.claims.clearOwner(aIncoming.flow, mContext.self.claimer);
      chooseAndPlace(aIncoming, aNow);
    }
  }

  /**
   * Places queued flows for which there is capacity now; refuses expired ones.
   * aReparse returns the IncomingPacket of a QueuedFlow, or std::nullopt if
   * this agent no longer serves it.
   */
  template<typename Reparse>
  void retryQueuedFlows(Reparse aReparse, Core::TimePoint aNow)
  {
    // When one flow finds no capacity, the others of its group do not either.
    absl::flat_hash_set<std::string> fullGroups;
    for (auto& queuedFlow : mQueue.flows()) {
      const bool isExpired = queuedFlow.deadline <= aNow;
      if (queuedFlow.isPlaced || (!isExpired && queuedFlow.retryAt > aNow)) {
        continue;
      }
      const auto incoming = aReparse(queuedFlow);
      if (!incoming) {
        continue;
      }
      if (incoming->classView.service->isEvacuated) {
        queuedFlow.deadline = aNow;
        refuse(*incoming, aNow);
        continue;
      }
      const auto group = capacityGroupOf(*incoming);
      const bool hasCapacity = (isExpired || !fullGroups.contains(group)) &&
                               chooseOwner(*incoming, aNow) != 0;
      if (hasCapacity) {
        queuedFlow.isPlaced = true;
        queuedFlow.isLastAttempt = isExpired;
        queuedFlow.deadline = isExpired ? aNow + FlowQueue::kLastAttemptTimeout
                                        : queuedFlow.deadline;
        chooseAndPlace(*incoming, aNow);
        continue;
      }
      fullGroups.insert(group);
      if (isExpired) {
        refuse(*incoming, aNow);
      }
    }
    mQueue.eraseExpired(aNow);
  }

  std::size_t queuedFlowCount() const { return mQueue.size(); }

private:
  /**
   * The service class and the member of a flow. Flows of one group have
   * capacity at the same targets.
   */
  std::string capacityGroupOf(const IncomingPacket& aIncoming) const
  {
    const auto& document = mContext.views.current()->document();
    const auto* member = document.findMember(aIncoming.flow.caller.address);
    return absl::StrCat(aIncoming.classView.serviceClass->name,
                        "/",
                        member == nullptr ? "" : member->name);
  }

  /**
   * The first usable home of the flow; this agent if no usable home precedes
   * it, so that it stands in for the homes before it.
   */
  Config::Identity firstUsableHome(const IncomingPacket& aIncoming,
                                   Core::TimePoint aNow) const
  {
    const auto& service = *aIncoming.classView.service;
    std::uint8_t position = 0;
    for (const auto homeIndex :
         service.homeSelector.homes(aIncoming.flowHash)) {
      const auto home = service.targets[homeIndex].target->identity;
      const bool isSkipped = position++ < aIncoming.header.homesSkipped;
      if (home == mContext.self.target || isHomeUsable(home, isSkipped, aNow)) {
        return home;
      }
    }
    return mContext.self.target;
  }

  /**
   * A home that has sent load reports is usable while it is responsive. Any
   * other home is usable unless the balancer skipped it.
   */
  bool isHomeUsable(Config::Identity aHome,
                    bool aIsSkipped,
                    Core::TimePoint aNow) const
  {
    const bool hasReported = mContext.peerLoads.find(aHome) != nullptr;
    return hasReported ? mContext.peerLoads.isResponsive(aHome, aNow)
                       : !aIsSkipped;
  }

  /**
   * Handles a packet that may start a flow: forwards it to the recorded owner,
   * or chooses an owner.
   */
  void openFlow(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    if (!mContext.isLeaseValid(aNow)) {
      mContext.counters.increment(AgentCounter::PacketsLeaseExpired);
      return;
    }
    const auto owner = mPlacement.recordedOwner(aIncoming.flow, aNow);
    if (owner != 0 && owner != mContext.self.target &&
        mContext.peerLoads.isResponsive(owner, aNow)) {
      mPlacement.place(aIncoming, owner, aNow);
      return;
    }
    if (owner != 0 && aIncoming.needsClaim()) {
      // The owner is unresponsive or no longer has the flow; whether it ran the
      // flow is unknown.
      mPlacement.answerOutcomeUnknown(aIncoming.packet);
      return;
    }
    if (mustSearchBeforePlacing(aIncoming, aNow)) {
      mPlacement.search(aIncoming, aNow);
      return;
    }
    chooseAndPlace(aIncoming, aNow);
  }

  /**
   * A UDP flow has no SYN. A home whose directory may lack the flow therefore
   * searches for its owner before it chooses one. A flow that needs a claim is
   * not searched for, since the claim finds its owner.
   */
  bool mustSearchBeforePlacing(const IncomingPacket& aIncoming,
                               Core::TimePoint aNow) const
  {
    const bool mayHaveOwner =
      !mContext.hasFullHistory(aNow) || !mContext.views.previous().empty();
    return aIncoming.isUdp() && !aIncoming.needsClaim() && mayHaveOwner;
  }

  void chooseAndPlace(IncomingPacket aIncoming, Core::TimePoint aNow)
  {
    aIncoming.header.claimer = mContext.self.claimer;
    const auto owner = chooseOwner(aIncoming, aNow);
    if (owner == 0) {
      queueOrRefuse(aIncoming, aNow);
    } else if (aIncoming.needsClaim()) {
      mClaimRole.propose(aIncoming, owner, aNow);
    } else {
      placeOrRefuse(aIncoming, owner, aNow);
    }
  }

  void queueOrRefuse(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    const auto waitLimit = aIncoming.classView.serviceClass->waitLimit;
    const auto sizeBefore = mQueue.size();
    const bool mayWait =
      waitLimit.count() > 0 && !aIncoming.classView.service->isEvacuated;
    const bool isQueued = mayWait && mQueue.insert(aIncoming, waitLimit, aNow);
    if (!isQueued) {
      refuse(aIncoming, aNow);
    } else if (mQueue.size() > sizeBefore) {
      mContext.counters.increment(AgentCounter::FlowsWaited);
      mPlacement.sendHomeNotice(aIncoming);
    }
  }

  /**
   * A refusal says that the flow did not run. That must be proven for flows
   * that need a claim.
   */
  void refuse(const IncomingPacket& aIncoming, Core::TimePoint aNow)
  {
    if (aIncoming.needsClaim()) {
      mClaimRole.propose(aIncoming, 0, aNow);
    } else {
      mPlacement.refuse(aIncoming);
    }
  }

  /** Chooses among this agent and its peers; 0 if none has capacity. */
  Config::Identity chooseOwner(const IncomingPacket& aIncoming,
                               Core::TimePoint aNow) const
  {
    const auto& service = *aIncoming.classView.service;
    std::vector<Candidate> candidates;
    const auto ownIndex = service.indexOf(mContext.self.target);
    if (!ownIndex) {
      return 0;
    }
    const auto& ownZone = service.targets[*ownIndex].target->zone;
    if (mOwnerRole.hasCapacity(aIncoming, aNow)) {
      candidates.push_back(
        { mContext.self.target, ownZone, mOwnerRole.load(aNow) });
    }
    for (const auto peerIndex : service.homeSelector.peers(*ownIndex)) {
      addPeerIfCandidate(
        service.targets[peerIndex], aIncoming, aNow, candidates);
    }
    if (candidates.empty()) {
      addStandIns(service, *ownIndex, aIncoming, aNow, candidates);
    }
    ChoiceRequest request;
    request.resource = aIncoming.classView.serviceClass->resource;
    request.preference = service.service->zonePreference;
    request.zone =
      mContext.views.current()->zoneOfBalancer(aIncoming.header.origin);
    request.flowHash = aIncoming.flowHash;
    return chooseTarget(candidates, request);
  }

  /**
   * Adds targets that are not peers if this agent and its peers are all in
   * evacuated zones. They are on the search route of the flow, so that its
   * owner is found when this agent no longer runs. Their loads are unknown.
   * A flow that needs a claim is not placed there: its retransmissions would be
   * answered as unproven, because this agent gets no reports of the owner.
   */
  void addStandIns(const Routing::ServiceView& aService,
                   std::uint32_t aOwnIndex,
                   const IncomingPacket& aIncoming,
                   Core::TimePoint aNow,
                   std::vector<Candidate>& aCandidates) const
  {
    if (aIncoming.needsClaim() || !hasOnlyEvacuatedPeers(aService, aOwnIndex)) {
      return;
    }
    const auto route = mPlacement.commonSearchRoute(aIncoming, aNow);
    const auto& excluded = aIncoming.header.route;
    const auto addIfOnRoute = [&](std::uint32_t aIndex) {
      const auto& entry = aService.targets[aIndex];
      if (entry.acceptsNewFlows() && contains(route, entry.endpoint) &&
          !contains(excluded, entry.endpoint)) {
        aCandidates.push_back(
          { entry.target->identity,
            entry.target->zone,
            { 0, entry.target->slots, 0, entry.target->connections } });
      }
    };
    for (const auto homeIndex :
         aService.homeSelector.homes(aIncoming.flowHash)) {
      addIfOnRoute(homeIndex);
      for (const auto peerIndex : aService.homeSelector.peers(homeIndex)) {
        addIfOnRoute(peerIndex);
      }
    }
  }

  static bool hasOnlyEvacuatedPeers(const Routing::ServiceView& aService,
                                    std::uint32_t aOwnIndex)
  {
    const auto peers = aService.homeSelector.peers(aOwnIndex);
    return !aService.isEvacuated &&
           aService.targets[aOwnIndex].isZoneEvacuated &&
           std::all_of(peers.begin(), peers.end(), [&](std::uint32_t aPeer) {
             return aService.targets[aPeer].isZoneEvacuated;
           });
  }

  template<typename Endpoints>
  static bool contains(const Endpoints& aEndpoints,
                       const Core::Endpoint& aEndpoint)
  {
    return std::find(aEndpoints.begin(), aEndpoints.end(), aEndpoint) !=
           aEndpoints.end();
  }

  void addPeerIfCandidate(const Routing::TargetEntry& aPeer,
                          const IncomingPacket& aIncoming,
                          Core::TimePoint aNow,
                          std::vector<Candidate>& aCandidates) const
  {
    const auto identity = aPeer.target->identity;
    const auto* peerLoad = mContext.peerLoads.find(identity);
    const auto& excluded = aIncoming.header.route;
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), aPeer.endpoint) !=
      excluded.end();
    const bool mayAdmitFlow =
      peerLoad != nullptr &&
      (peerLoad->hasFullHistory || !aIncoming.needsClaim());
    const bool isCandidate = mayAdmitFlow && !isExcluded &&
                             !peerLoad->isDraining && aPeer.acceptsNewFlows() &&
                             !aPeer.endpoint.isNull() &&
                             mContext.peerLoads.isResponsive(identity, aNow);
    if (isCandidate) {
      aCandidates.push_back({ identity,
                              aPeer.target->zone,
                              mContext.peerLoads.estimate(*peerLoad, aNow) });
    }
  }

  AgentContext<Output>& mContext;
  OwnerRole<Output>& mOwnerRole;
  Placement<Output>& mPlacement;
  ClaimRole<Output>& mClaimRole;
  FlowQueue mQueue;
};

} // namespace Ownership
