#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace Balancing {

/**
 * Remembers the owners of flows by their hash, to save a hop. It is never the
 * authority: a lost or wrong entry costs a hop and nothing else. Two
 * generations bound its memory; an entry that is used moves to the young one.
 */
class OwnerCache
{
public:
  /** aCapacity is the most flows that both generations hold. */
  OwnerCache(std::size_t aCapacity, std::chrono::nanoseconds aGeneration);

  void insert(std::uint64_t aFlowHash,
              Config::Identity aOwner,
              Core::TimePoint aNow);
  void erase(std::uint64_t aFlowHash);
  /** 0 when the owner is not known. */
  Config::Identity find(std::uint64_t aFlowHash, Core::TimePoint aNow);

  std::size_t size() const { return mYoung.size() + mOld.size(); }

private:
  using Generation = absl::flat_hash_map<std::uint64_t, Config::Identity>;

  void rotateIfDue(Core::TimePoint aNow);

  std::size_t mGenerationCapacity;
  std::chrono::nanoseconds mGenerationTime;
  Core::TimePoint mRotatedAt{};
  Generation mYoung;
  Generation mOld;
};

} // namespace Balancing
