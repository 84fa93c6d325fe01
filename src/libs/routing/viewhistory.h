#pragma once

#include "core/clock.h"
#include "routing/fleetview.h"

#include <absl/status/status.h>

#include <functional>
#include <vector>

namespace Routing {

/**
 * The view in force and the earlier ones that some process may still act on.
 * A view is never replaced by an older revision, nor by another content of
 * the same revision.
 */
class ViewHistory
{
public:
  /** Earlier views that are kept at most. */
  static constexpr std::size_t kEarlierViews = 32;

  /** Whether the view that is replaced may still matter. */
  enum class Replaced
  {
    Keep,
    Forget,
  };

  /**
   * Puts a view in force. Fails for an older revision and for another digest
   * under the revision in force; then nothing changes. The same revision with
   * a new instance list replaces the view and keeps no earlier one.
   */
  absl::Status adopt(FleetViewPointer aView,
                     Core::TimePoint aNow,
                     Replaced aReplaced = Replaced::Forget);

  /** Null before the first view. */
  const FleetViewPointer& current() const { return mCurrent; }

  /** Newest first, without the current one. */
  const std::vector<FleetViewPointer>& earlier() const { return mEarlier; }

  using Predicate = std::function<bool(const FleetView&)>;

  /**
   * Forgets the oldest views, up to the first that was replaced at aTime or
   * later or that aIsActedOn holds back.
   */
  void forgetReplacedBefore(Core::TimePoint aTime, const Predicate& aIsActedOn);

private:
  FleetViewPointer mCurrent;
  std::vector<FleetViewPointer> mEarlier;
  std::vector<Core::TimePoint> mReplacedAt;
};

} // namespace Routing
