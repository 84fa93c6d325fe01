#pragma once

#include "ownership/agentcontext.h"
#include "ownership/claimside.h"
#include "ownership/ownerside.h"
#include "ownership/placement.h"
#include "ownership/targetchoice.h"
#include "ownership/waitingflows.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <string>
#include <vector>

namespace Ownership {

/**
 * What an agent does as the home of a flow: it chooses the owner of a new
 * flow among itself and its peers, and finds the owner of a known one.
 */
template<AgentPort Port>
class HomeSide
{
public:
  HomeSide(AgentContext<Port>& aContext,
           OwnerSide<Port>& aOwnerSide,
           Placement<Port>& aPlacement,
           ClaimSide<Port>& aClaimSide)
    : mContext(aContext)
    , mOwnerSide(aOwnerSide)
    , mPlacement(aPlacement)
    , mClaimSide(aClaimSide)
  {
  }

  /** Handles a packet whose flow this agent does not own. */
  void handleUnowned(const Arrival& aArrival, Core::TimePoint aNow)
  {
    const auto next = homeToTry(aArrival, aNow);
    if (next != mContext.self.target) {
      auto header = aArrival.header;
      header.purpose = Packet::ForwardPurpose::ToHome;
      mContext.forward(mContext.endpointOf(next), header, aArrival.packet);
      return;
    }
    if (aArrival.mayOpen()) {
      open(aArrival, aNow);
    } else {
      mPlacement.search(aArrival, aNow);
    }
  }

  /** Handles a flow that the agent it was assigned to turned away. */
  void handleReturned(Arrival aArrival, Core::TimePoint aNow)
  {
    const auto returnedBy = aArrival.header.home;
    auto& excluded = aArrival.header.route;
    if (returnedBy == 0) {
      excluded.clear();
    } else if (excluded.size() < Packet::ForwardHeader::kMaximumRoute) {
      excluded.push_back(mContext.endpointOf(returnedBy));
    }
    if (mPlacement.knownOwner(aArrival.flow, aNow) == returnedBy) {
      mPlacement.forgetOwner(aArrival.flow);
      mContext.claims.releaseOwner(aArrival.flow, mContext.self.claimer);
    }
    chooseAndPlace(aArrival, aNow);
  }

  /** Places a flow whose claim is proven, or refuses it without an owner. */
  void handleProven(const Arrival& aArrival,
                    Config::Identity aOwner,
                    Core::TimePoint aNow)
  {
    if (aOwner == 0) {
      mPlacement.refuse(aArrival);
      return;
    }
    if (mPlacement.place(aArrival, aOwner, aNow) == PlaceResult::NoRoom) {
      // This agent is no candidate any more, so that this ends.
      mContext.claims.releaseOwner(aArrival.flow, mContext.self.claimer);
      chooseAndPlace(aArrival, aNow);
    }
  }

  /** Places waiting flows that have room now, and refuses overdue ones. */
  template<typename Reparse>
  void retryWaiting(Reparse aReparse, Core::TimePoint aNow)
  {
    // Once a flow found no room, its like behind it find none either.
    absl::flat_hash_set<std::string> withoutRoom;
    for (auto& it : mWaiting.flows()) {
      const bool isOverdue = it.deadline <= aNow;
      if (it.isPlaced || (!isOverdue && it.retryAt > aNow)) {
        continue;
      }
      const auto arrival = aReparse(it);
      if (!arrival) {
        continue;
      }
      const auto kind = kindOf(*arrival);
      const bool hasRoom = (isOverdue || !withoutRoom.contains(kind)) &&
                           chooseOwner(*arrival, aNow) != 0;
      if (hasRoom) {
        it.isPlaced = true;
        it.isLastTry = isOverdue;
        it.deadline =
          isOverdue ? aNow + WaitingFlows::kLastTryTime : it.deadline;
        chooseAndPlace(*arrival, aNow);
        continue;
      }
      withoutRoom.insert(kind);
      if (isOverdue) {
        refuse(*arrival, aNow);
      }
    }
    mWaiting.eraseOverdue(aNow);
  }

  std::size_t waitingCount() const { return mWaiting.size(); }

private:
  /** Flows of one kind have room at the same targets. */
  std::string kindOf(const Arrival& aArrival) const
  {
    const auto& document = mContext.views.current()->document();
    const auto* member = document.findMember(aArrival.flow.caller.address);
    return absl::StrCat(aArrival.classView.serviceClass->name,
                        "/",
                        member == nullptr ? "" : member->name);
  }

  /**
   * The first home of the flow that is not known to be dead; this agent when
   * it is the home or stands in for one.
   */
  Config::Identity homeToTry(const Arrival& aArrival,
                             Core::TimePoint aNow) const
  {
    const auto& service = *aArrival.classView.service;
    std::uint8_t position = 0;
    for (const auto index : service.ring.homes(aArrival.flowHash)) {
      const auto home = service.targets[index].target->identity;
      const bool isSkipped = position++ < aArrival.header.homesSkipped;
      if (home == mContext.self.target || isUsable(home, isSkipped, aNow)) {
        return home;
      }
    }
    return mContext.self.target;
  }

  bool isUsable(Config::Identity aHome,
                bool aIsSkipped,
                Core::TimePoint aNow) const
  {
    const bool isHeard = mContext.board.find(aHome) != nullptr;
    return isHeard ? mContext.board.isAlive(aHome, aNow) : !aIsSkipped;
  }

  void open(const Arrival& aArrival, Core::TimePoint aNow)
  {
    if (!mContext.isLeaseValid(aNow)) {
      mContext.counters.increment(AgentCounter::PacketsLeaseExpired);
      return;
    }
    const auto owner = mPlacement.knownOwner(aArrival.flow, aNow);
    if (owner != 0 && owner != mContext.self.target &&
        mContext.board.isAlive(owner, aNow)) {
      mPlacement.place(aArrival, owner, aNow);
      return;
    }
    if (owner != 0 && aArrival.needsClaim()) {
      // Whether its owner ran it before it died cannot be known.
      mPlacement.answerUnknown(aArrival.packet);
      return;
    }
    if (mustSearchFirst(aArrival, aNow)) {
      mPlacement.search(aArrival, aNow);
      return;
    }
    chooseAndPlace(aArrival, aNow);
  }

  /**
   * A UDP flow has no opening packet, so that a home which may have forgotten
   * it looks for its owner before it chooses one. Claims find it otherwise.
   */
  bool mustSearchFirst(const Arrival& aArrival, Core::TimePoint aNow) const
  {
    const bool mayBeForgotten =
      !mContext.isComplete(aNow) || !mContext.views.earlier().empty();
    return aArrival.isUdp() && !aArrival.needsClaim() && mayBeForgotten;
  }

  void chooseAndPlace(Arrival aArrival, Core::TimePoint aNow)
  {
    aArrival.header.claimer = mContext.self.claimer;
    const auto owner = chooseOwner(aArrival, aNow);
    if (owner == 0) {
      waitOrRefuse(aArrival, aNow);
    } else if (aArrival.needsClaim()) {
      mClaimSide.propose(aArrival, owner, aNow);
    } else {
      handleProven(aArrival, owner, aNow);
    }
  }

  void waitOrRefuse(const Arrival& aArrival, Core::TimePoint aNow)
  {
    const auto limit = aArrival.classView.serviceClass->waitLimit;
    const auto before = mWaiting.size();
    const bool waits =
      limit.count() > 0 && mWaiting.insert(aArrival, limit, aNow);
    if (!waits) {
      refuse(aArrival, aNow);
    } else if (mWaiting.size() > before) {
      mContext.counters.increment(AgentCounter::FlowsWaited);
      mPlacement.acknowledge(aArrival);
    }
  }

  /** "Not run" must be proven where a request may not run twice. */
  void refuse(const Arrival& aArrival, Core::TimePoint aNow)
  {
    if (aArrival.needsClaim()) {
      mClaimSide.propose(aArrival, 0, aNow);
    } else {
      mPlacement.refuse(aArrival);
    }
  }

  Config::Identity chooseOwner(const Arrival& aArrival,
                               Core::TimePoint aNow) const
  {
    const auto& service = *aArrival.classView.service;
    std::vector<Candidate> candidates;
    const auto self = service.indexOf(mContext.self.target);
    if (!self) {
      return 0;
    }
    const auto& ownZone = service.targets[*self].target->zone;
    if (mOwnerSide.hasRoom(aArrival, aNow)) {
      candidates.push_back(
        { mContext.self.target, ownZone, mOwnerSide.load(aNow) });
    }
    for (const auto peer : service.ring.peers(*self)) {
      addPeer(service.targets[peer], aArrival, aNow, candidates);
    }
    ChoiceRequest request;
    request.occupies = aArrival.classView.serviceClass->occupies;
    request.preference = service.service->zonePreference;
    request.zone =
      mContext.views.current()->zoneOfBalancer(aArrival.header.origin);
    request.flowHash = aArrival.flowHash;
    return chooseTarget(candidates, request);
  }

  void addPeer(const Routing::TargetPlace& aPlace,
               const Arrival& aArrival,
               Core::TimePoint aNow,
               std::vector<Candidate>& aCandidates) const
  {
    const auto identity = aPlace.target->identity;
    const auto* peer = mContext.board.find(identity);
    const auto& excluded = aArrival.header.route;
    const bool isExcluded =
      std::find(excluded.begin(), excluded.end(), aPlace.endpoint) !=
      excluded.end();
    const bool mayConsent =
      peer != nullptr && (peer->isComplete || !aArrival.needsClaim());
    const bool isUsable = mayConsent && !isExcluded && !peer->isLeaving &&
                          !aPlace.leaving && !aPlace.endpoint.isNull() &&
                          mContext.board.isAlive(identity, aNow);
    if (isUsable) {
      aCandidates.push_back({ identity,
                              aPlace.target->zone,
                              mContext.board.estimate(*peer, aNow) });
    }
  }

  AgentContext<Port>& mContext;
  OwnerSide<Port>& mOwnerSide;
  Placement<Port>& mPlacement;
  ClaimSide<Port>& mClaimSide;
  WaitingFlows mWaiting;
};

} // namespace Ownership
