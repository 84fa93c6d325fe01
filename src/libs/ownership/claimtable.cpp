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
                   Claimer aClaimer,
                   Config::Identity aOwner,
                   Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  if (claim.claimer == 0 || claim.claimer == aClaimer) {
    claim.claimer = aClaimer;
    claim.owner = aOwner;
    claim.madeAt = aNow;
  }
  return claim;
}

void
ClaimTable::releaseOwner(const Packet::FlowKey& aFlow, Claimer aClaimer)
{
  const auto it = mClaims.find(aFlow);
  if (it != mClaims.end() && it->second.claimer == aClaimer) {
    it->second.owner = 0;
  }
}

void
ClaimTable::reject(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  claim.isRejected = true;
  claim.madeAt = aNow;
}

void
ClaimTable::markRefused(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  auto& claim = mClaims[aFlow];
  claim.isRefused = true;
  claim.madeAt = aNow;
}

void
ClaimTable::eraseMadeBefore(Core::TimePoint aTime)
{
  absl::erase_if(mClaims, [aTime](const auto& aEntry) {
    return aEntry.second.madeAt < aTime;
  });
}

} // namespace Ownership
