#include "steering/evacuationstate.h"

namespace Steering {

bool
EvacuationState::update(const MapRevision& aRevision, bool aIsZoneEvacuated)
{
  if (aRevision <= mNewestRevision) {
    return false;
  }
  mNewestRevision = aRevision;
  if (aIsZoneEvacuated == mStatus.isEvacuated) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  mStatus = { aIsZoneEvacuated, aRevision };
  return true;
}

EvacuationStatus
EvacuationState::status() const
{
  const std::lock_guard lock(mMutex);
  return mStatus;
}

} // namespace Steering
