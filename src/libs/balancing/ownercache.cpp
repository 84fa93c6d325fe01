#include "balancing/ownercache.h"

#include <utility>

namespace Balancing {

OwnerCache::OwnerCache(std::size_t aCapacity,
                       std::chrono::nanoseconds aGenerationDuration)
  : mGenerationCapacity(aCapacity / 2)
  , mGenerationDuration(aGenerationDuration)
{
}

void
OwnerCache::rotateIfNeeded(Core::TimePoint aNow)
{
  const bool isFull = mYoung.size() >= mGenerationCapacity;
  if (!isFull && aNow - mRotatedAt < mGenerationDuration) {
    return;
  }
  mOld = std::exchange(mYoung, {});
  mRotatedAt = aNow;
}

void
OwnerCache::insert(std::uint64_t aFlowHash,
                   Config::Identity aOwner,
                   Core::TimePoint aNow)
{
  rotateIfNeeded(aNow);
  mOld.erase(aFlowHash);
  mYoung[aFlowHash] = aOwner;
}

void
OwnerCache::erase(std::uint64_t aFlowHash)
{
  mYoung.erase(aFlowHash);
  mOld.erase(aFlowHash);
}

Config::Identity
OwnerCache::find(std::uint64_t aFlowHash, Core::TimePoint aNow)
{
  if (const auto it = mYoung.find(aFlowHash); it != mYoung.end()) {
    return it->second;
  }
  const auto it = mOld.find(aFlowHash);
  if (it == mOld.end()) {
    return 0;
  }
  const auto owner = it->second;
  insert(aFlowHash, owner, aNow);
  return owner;
}

} // namespace Balancing
