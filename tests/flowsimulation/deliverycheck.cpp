#include "flowsimulation/deliverycheck.h"

namespace FlowTesting {

bool
DeliveryCheck::recordAstray(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& astray = mAstray[aFlow];
  if (astray.count++ == 0) {
    astray.since = aNow;
  }
  const bool isViolated =
    astray.count >= kMinAstrayPackets && aNow - astray.since >= kMaxAstrayTime;
  if (!isViolated || astray.isReported) {
    return false;
  }
  astray.isReported = true;
  return true;
}

} // namespace FlowTesting
