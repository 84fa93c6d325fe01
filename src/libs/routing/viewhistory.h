#pragma once

#include "core/clock.h"
#include "routing/fleetview.h"

#include <absl/status/status.h>

#include <functional>
#include <vector>

namespace Routing {

/**
 * The current view and the previous ones that some process may still use. A
 * view is never replaced by an older revision, nor by different content under
 * the same revision.
 */
class ViewHistory
{
public:
  /** Maximum number of previous views that are kept. */
  static constexpr std::size_t kMaxPreviousViews = 32;

  /** What happens to the view that is replaced. */
  enum class PreviousView
  {
    /** Some process may still use it. */
    Keep,
    Discard,
  };

  /**
   * Makes aView the current view. Fails, without any change, if its revision is
   * older, or if it is the same with a different digest. The same revision with
   * a new instance list replaces the current view, which is not kept.
   */
  absl::Status activate(FleetViewPointer aView,
                        Core::TimePoint aNow,
                        PreviousView aPreviousView = PreviousView::Discard);

  /** Null until the first view is activated. */
  const FleetViewPointer& current() const { return mCurrent; }

  /** Newest first; does not include the current view. */
  const std::vector<FleetViewPointer>& previous() const { return mPrevious; }

  using Predicate = std::function<bool(const FleetView&)>;

  /**
   * Discards previous views, oldest first. Stops at the first one that was
   * replaced at aTime or later, or that is still in use.
   */
  void discardReplacedBefore(Core::TimePoint aTime, const Predicate& aIsInUse);

private:
  FleetViewPointer mCurrent;
  std::vector<FleetViewPointer> mPrevious;
  /** When each previous view was replaced, in the order of mPrevious. */
  std::vector<Core::TimePoint> mReplacedAt;
};

} // namespace Routing
