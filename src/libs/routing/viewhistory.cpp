#include "routing/viewhistory.h"

#include <absl/strings/str_cat.h>

namespace Routing {

absl::Status
ViewHistory::activate(FleetViewPointer aView,
                      Core::TimePoint aNow,
                      PreviousView aPreviousView)
{
  if (mCurrent == nullptr) {
    mCurrent = std::move(aView);
    return absl::OkStatus();
  }
  if (aView->revision() < mCurrent->revision()) {
    return absl::FailedPreconditionError(
      absl::StrCat("revision ",
                   aView->revision(),
                   " is older than revision ",
                   mCurrent->revision(),
                   ", which is current"));
  }
  const bool isNewer = aView->revision() > mCurrent->revision();
  if (isNewer && aPreviousView == PreviousView::Keep) {
    mPrevious.insert(mPrevious.begin(), mCurrent);
    mReplacedAt.insert(mReplacedAt.begin(), aNow);
    if (mPrevious.size() > kMaxPreviousViews) {
      mPrevious.pop_back();
      mReplacedAt.pop_back();
    }
  }
  if (!isNewer && aView->document().digest != mCurrent->document().digest) {
    return absl::FailedPreconditionError(
      absl::StrCat("revision ",
                   aView->revision(),
                   " is current with digest ",
                   mCurrent->document().digest,
                   " and was received again with digest ",
                   aView->document().digest));
  }
  mCurrent = std::move(aView);
  return absl::OkStatus();
}

void
ViewHistory::discardReplacedBefore(Core::TimePoint aTime,
                                   const Predicate& aIsInUse)
{
  while (!mReplacedAt.empty() && mReplacedAt.back() < aTime &&
         !aIsInUse(*mPrevious.back())) {
    mReplacedAt.pop_back();
    mPrevious.pop_back();
  }
}

} // namespace Routing
