#pragma once

#include "steering/fleetmap.h"

#include <atomic>
#include <mutex>

namespace Steering {

/**
 * Passes the newest map from the thread that watches the platform to the thread
 * that forwards packets. Thread-safe.
 */
class SharedFleetMap
{
public:
  /**
   * Returns false, without effect, if the map is older than the current one.
   */
  bool update(FleetMapPointer aMap);
  /** Null until the first map is set. */
  FleetMapPointer current() const;
  /**
   * Increases with each accepted map. Cheap to read, since it takes no lock.
   */
  std::uint64_t generation() const { return mGeneration.load(); }

private:
  mutable std::mutex mMutex;
  FleetMapPointer mMap;
  std::atomic<std::uint64_t> mGeneration = 0;
};

} // namespace Steering
