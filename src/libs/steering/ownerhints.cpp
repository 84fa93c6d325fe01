#include "steering/ownerhints.h"

namespace Steering {

void
OwnerHints::store(const Packet::FlowKey& aFlow,
                  const Core::Endpoint& aAgent,
                  Core::TimePoint aNow)
{
  if (mHints.size() < kCapacity || mHints.contains(aFlow)) {
    mHints[aFlow] = { aAgent, aNow };
  }
}

Core::Endpoint
OwnerHints::find(const Packet::FlowKey& aFlow) const
{
  const auto it = mHints.find(aFlow);
  return it == mHints.end() ? Core::Endpoint{} : it->second.agent;
}

void
OwnerHints::removeExpired(Core::TimePoint aNow)
{
  if (aNow - mLastSweepAt < kSweepInterval) {
    return;
  }
  mLastSweepAt = aNow;
  absl::erase_if(mHints, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.storedAt >= kRetention;
  });
}

} // namespace Steering
