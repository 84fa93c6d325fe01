#include "steering/linkbudget.h"

#include <algorithm>

namespace Steering {

namespace {

using Seconds = std::chrono::duration<double>;

double
burstBytes(double aLinkRate)
{
  return aLinkRate * Seconds(LinkBudget::kBurst).count();
}

} // namespace

LinkBudget::LinkBudget(std::uint64_t aLinkRate)
  : mLinkRate(static_cast<double>(aLinkRate))
  , mAvailableBytes(burstBytes(mLinkRate))
{
}

bool
LinkBudget::isAvailable(Core::TimePoint aNow)
{
  const auto refill = Seconds(aNow - mLastRefillAt).count() * mLinkRate /
                      static_cast<double>(kShare);
  mAvailableBytes = std::min(mAvailableBytes + refill, burstBytes(mLinkRate));
  mLastRefillAt = aNow;
  return mAvailableBytes > 0;
}

void
LinkBudget::take(std::size_t aBytes)
{
  mAvailableBytes -= static_cast<double>(aBytes + kHeaderBytes);
}

} // namespace Steering
