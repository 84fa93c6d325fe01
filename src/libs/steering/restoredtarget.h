#pragma once

#include "steering/fleetmap.h"

#include <chrono>
#include <cstdint>

namespace Steering {

/** The part of a target's announcement that a restore may have reverted. */
struct AnnouncedState
{
  TargetState state = TargetState::Accepting;
  /** Unix time of the target's start; 0 if unknown. */
  std::chrono::milliseconds startedAt{ 0 };
};

/** What to do with an announcement in data that was restored from a copy. */
enum class RestoredAnnouncement : std::uint8_t
{
  Use,
  /** The announcement known from before the restore is newer. */
  KeepKnown,
  /**
   * The target had left before the restore. It gets no new work until it is
   * announced again or its announcement has outlived that of a dead target.
   */
  HoldBack,
};

/** Decides about a target that was announced at the time of the restore. */
RestoredAnnouncement
chooseAnnouncement(const AnnouncedState& aKnown,
                   const AnnouncedState& aRestored);

/** Decides about a target that had been removed before the restore. */
RestoredAnnouncement
chooseRemovedAnnouncement(const AnnouncedState& aRemoved,
                          const AnnouncedState& aRestored);

} // namespace Steering
