#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace Balancing {

/**
 * Caches the owners of flows by flow hash, to save a hop. The cache is not
 * authoritative: a missing or wrong entry only costs a hop. Two generations
 * bound its memory. An entry that is used moves to the young generation; the
 * old generation is dropped on rotation.
 */
class OwnerCache
{
public:
  /** aCapacity is the maximum number of flows in both generations. */
  OwnerCache(std::size_t aCapacity,
             std::chrono::nanoseconds aGenerationDuration);

  void insert(std::uint64_t aFlowHash,
              Config::Identity aOwner,
              Core::TimePoint aNow);
  void erase(std::uint64_t aFlowHash);
  /** Returns 0 if the owner is not cached. */
  Config::Identity find(std::uint64_t aFlowHash, Core::TimePoint aNow);

  std::size_t size() const { return mYoung.size() + mOld.size(); }

private:
  using Generation = absl::flat_hash_map<std::uint64_t, Config::Identity>;

  void rotateIfNeeded(Core::TimePoint aNow);

  std::size_t mGenerationCapacity;
  std::chrono::nanoseconds mGenerationDuration;
  Core::TimePoint mRotatedAt{};
  Generation mYoung;
  Generation mOld;
};

} // namespace Balancing
