#include "steering/sharedfleetmap.h"

#include <utility>

namespace Steering {

bool
SharedFleetMap::update(FleetMapPointer aMap)
{
  const std::lock_guard lock(mMutex);
  const bool isOlder =
    mMap != nullptr &&
    (aMap->revision() < mMap->revision() || aMap->version() < mMap->version());
  if (isOlder) {
    return false;
  }
  mMap = std::move(aMap);
  ++mGeneration;
  return true;
}

FleetMapPointer
SharedFleetMap::current() const
{
  const std::lock_guard lock(mMutex);
  return mMap;
}

} // namespace Steering
