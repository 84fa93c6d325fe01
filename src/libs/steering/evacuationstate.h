#pragma once

#include "steering/maprevision.h"

#include <mutex>

namespace Steering {

/** Whether the zone of an agent is evacuated, for logs and status pages. */
struct EvacuationStatus
{
  bool isEvacuated = false;
  /** Revision of the message that changed isEvacuated; null if none did. */
  MapRevision since;
};

/**
 * An agent's knowledge of whether its availability zone is evacuated. Balancers
 * with maps of different ages tell it at the same time, so only a revision that
 * is newer than all others changes it. update() and isEvacuated() are used by
 * one thread, status() by any.
 */
class EvacuationState
{
public:
  /**
   * Takes the flag of a balancer's message. Returns whether it has changed the
   * state.
   */
  bool update(const MapRevision& aRevision, bool aIsZoneEvacuated);
  bool isEvacuated() const { return mStatus.isEvacuated; }
  EvacuationStatus status() const;

private:
  MapRevision mNewestRevision;
  /** Changed by the thread of update() only. */
  EvacuationStatus mStatus;
  mutable std::mutex mMutex;
};

} // namespace Steering
