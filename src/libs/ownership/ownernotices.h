#pragma once

#include "messages/flowid.h"
#include "ownership/agentcontext.h"
#include "ownership/flowtable.h"
#include "ownership/incomingpacket.h"

namespace Ownership {

/**
 * With more balancers the packets of a flow rarely reach the same balancer
 * again, so that repeated notices are not worth their traffic.
 */
constexpr std::size_t kMaxBalancersForRepeatedNotices = 16;

/**
 * True if the balancer that forwarded the packet is to be sent an owner
 * notice. The first notice of a flow is sent whenever the balancer wants one,
 * since it also shows that the home is responsive.
 */
inline bool
shouldNotifyBalancer(const IncomingPacket& aIncoming,
                     const OwnedFlow& aOwnedFlow,
                     std::size_t aBalancerCount)
{
  const bool mayRepeatNotice =
    aBalancerCount <= kMaxBalancersForRepeatedNotices &&
    aOwnedFlow.sentNotices < UINT16_MAX;
  return aIncoming.header.wantsOwnerNotice &&
         (aIncoming.mayStartFlow() || aOwnedFlow.sentNotices == 0 ||
          mayRepeatNotice);
}

/**
 * Notifies the balancer, and the home that searched for the flow, that this
 * agent is the owner.
 */
template<AgentOutput Output>
void
sendOwnerNotices(AgentContext<Output>& aContext,
                 const IncomingPacket& aIncoming,
                 OwnedFlow& aOwnedFlow)
{
  const auto& header = aIncoming.header;
  const auto& view = *aContext.views.current();
  Messages::PeerMessage message;
  auto& notice = *message.mutable_owner_notice();
  Messages::writeFlow(aIncoming.flow, *notice.mutable_flow());
  notice.set_owner(aContext.self.target);
  notice.set_home(header.home == 0 ? aContext.self.target : header.home);
  notice.set_revision(view.revision());
  if (shouldNotifyBalancer(aIncoming, aOwnedFlow, view.balancerCount())) {
    ++aOwnedFlow.sentNotices;
    aContext.sendMessage(header.origin, message);
  }
  const bool answersSearch =
    header.purpose == Packet::ForwardPurpose::Search && header.home != 0;
  if (answersSearch) {
    aContext.sendMessage(aContext.endpointOf(header.home), message);
  }
}

} // namespace Ownership
