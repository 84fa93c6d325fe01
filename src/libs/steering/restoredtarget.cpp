#include "steering/restoredtarget.h"

namespace Steering {

RestoredAnnouncement
chooseAnnouncement(const AnnouncedState& aKnown,
                   const AnnouncedState& aRestored)
{
  if (aRestored.startedAt != aKnown.startedAt) {
    return aRestored.startedAt > aKnown.startedAt
             ? RestoredAnnouncement::Use
             : RestoredAnnouncement::KeepKnown;
  }
  // A target that drains does not accept new flows again until it restarts.
  return aKnown.state == TargetState::Draining ? RestoredAnnouncement::KeepKnown
                                               : RestoredAnnouncement::Use;
}

RestoredAnnouncement
chooseRemovedAnnouncement(const AnnouncedState& aRemoved,
                          const AnnouncedState& aRestored)
{
  return aRestored.startedAt > aRemoved.startedAt
           ? RestoredAnnouncement::Use
           : RestoredAnnouncement::HoldBack;
}

} // namespace Steering
