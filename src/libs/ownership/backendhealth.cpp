#include "ownership/backendhealth.h"

#include <chrono>

namespace Ownership {

namespace {

constexpr std::chrono::seconds kAnswerTimeout{ 1 };
constexpr std::chrono::seconds kProbeInterval{ 2 };

} // namespace

void
BackendHealth::recordSyn(Core::TimePoint aNow)
{
  if (!mUnansweredSince || aNow - *mUnansweredSince > kProbeInterval) {
    mUnansweredSince = aNow;
  }
}

void
BackendHealth::recordAnswer()
{
  mUnansweredSince.reset();
}

bool
BackendHealth::isHealthy(Core::TimePoint aNow) const
{
  if (!mUnansweredSince) {
    return true;
  }
  const auto unansweredTime = aNow - *mUnansweredSince;
  return unansweredTime < kAnswerTimeout || unansweredTime > kProbeInterval;
}

} // namespace Ownership
