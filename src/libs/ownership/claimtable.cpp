#include "ownership/claimtable.h"

namespace Ownership {

const Claim*
ClaimTable::find(const Packet::FlowKey& aFlow) const
{
  const auto it = mClaims.find(aFlow);
  return it == mClaims.end() ? nullptr : &it->second;
}

const Claim&
ClaimTable::record(const Packet::FlowKey& aFlow,
                   ClaimerId aClaimer,
                   Config::Identity aOwner,
                   Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  if (claim.claimer == 0 || claim.claimer == aClaimer) {
    claim.claimer = aClaimer;
    claim.owner = aOwner;
    claim.recordedAt = aNow;
  }
  return claim;
}

void
ClaimTable::clearOwner(const Packet::FlowKey& aFlow, ClaimerId aClaimer)
{
  const auto it = mClaims.find(aFlow);
  if (it != mClaims.end() && it->second.claimer == aClaimer) {
    it->second.owner = 0;
  }
}

void
ClaimTable::markRejected(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  claim.isRejected = true;
  claim.recordedAt = aNow;
}

void
ClaimTable::markRefused(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  claim.isRefused = true;
  claim.recordedAt = aNow;
}

void
ClaimTable::eraseRecordedBefore(Core::TimePoint aTime)
{
  absl::erase_if(mClaims, [aTime](const auto& aEntry) {
    return aEntry.second.recordedAt < aTime;
  });
}

} // namespace Ownership
