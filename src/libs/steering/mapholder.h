#pragma once

#include "steering/fleetmap.h"

#include <atomic>
#include <mutex>

namespace Steering {

/**
 * Hands the newest map from the task that reads the platform to the task that
 * forwards packets. Any thread may use it.
 */
class MapHolder
{
public:
  /** Returns false for a map that is older than the one held. */
  bool offer(FleetMapPointer aMap);
  /** Null before the first map. */
  FleetMapPointer current() const;
  /** Grows with each map taken; cheap to read. */
  std::uint64_t generation() const { return mGeneration.load(); }

private:
  mutable std::mutex mMutex;
  FleetMapPointer mMap;
  std::atomic<std::uint64_t> mGeneration = 0;
};

} // namespace Steering
