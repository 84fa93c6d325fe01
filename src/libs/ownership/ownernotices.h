#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/arrival.h"
#include "ownership/flowtable.h"

namespace Ownership {

/** With more balancers a flow seldom meets the same one again. */
constexpr std::size_t kFewBalancers = 16;

/**
 * The first notice of a flow also tells that its home is alive. More are
 * worth their bytes only while packets come back to the same balancers.
 */
inline bool
isNoticeWanted(const Arrival& aArrival,
               const OwnedFlow& aEntry,
               std::size_t aBalancers)
{
  const bool isLearning =
    aBalancers <= kFewBalancers && aEntry.notices < UINT16_MAX;
  return aArrival.header.wantsNotice &&
         (aArrival.mayOpen() || aEntry.notices == 0 || isLearning);
}

/** Tells the balancer and the home that asked that this agent is the owner. */
template<AgentPort Port>
void
sendOwnerNotices(AgentContext<Port>& aContext,
                 const Arrival& aArrival,
                 OwnedFlow& aEntry)
{
  const auto& header = aArrival.header;
  const auto& view = *aContext.views.current();
  Messages::PeerMessage message;
  auto& notice = *message.mutable_owner_notice();
  Messages::writeFlow(aArrival.flow, *notice.mutable_flow());
  notice.set_owner(aContext.self.target);
  notice.set_home(header.home == 0 ? aContext.self.target : header.home);
  notice.set_revision(view.revision());
  if (isNoticeWanted(aArrival, aEntry, view.balancerCount())) {
    ++aEntry.notices;
    aContext.sendMessage(header.origin, message);
  }
  const bool wasSearched =
    header.purpose == Packet::ForwardPurpose::Search && header.home != 0;
  if (wasSearched) {
    aContext.sendMessage(aContext.endpointOf(header.home), message);
  }
}

} // namespace Ownership
