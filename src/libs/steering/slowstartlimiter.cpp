#include "steering/slowstartlimiter.h"

#include <algorithm>
#include <utility>

namespace Steering {

SlowStartLimiter::SlowStartLimiter(Core::TimePoint aStartedAt)
  : mUnseenUntil(aStartedAt + kWindow + kMargin)
{
}

bool
SlowStartLimiter::learn(const std::optional<SlowStart>& aSlowStart,
                        const MapRevision& aMapRevision,
                        Core::TimePoint aNow)
{
  if (aMapRevision < mMapRevision) {
    return false;
  }
  const bool wasActive = isActive(aNow);
  mMapRevision = aMapRevision;
  mLimit = aSlowStart ? aSlowStart->limit : 0;
  mEndsAt = aSlowStart ? aNow + aSlowStart->remaining : Core::TimePoint{};
  return !wasActive && isActive(aNow);
}

bool
SlowStartLimiter::isActive(Core::TimePoint aNow) const
{
  return mLimit > 0 && aNow < mEndsAt;
}

std::uint32_t
SlowStartLimiter::budget(Core::TimePoint aNow) const
{
  if (!isActive(aNow)) {
    return kUnlimited;
  }
  if (aNow < mUnseenUntil) {
    return 0;
  }
  return mLimit - std::min(usedCount(aNow), mLimit);
}

void
SlowStartLimiter::take(Core::TimePoint aNow)
{
  add(bucketNumber(aNow), 1);
}

void
SlowStartLimiter::move(Core::TimePoint aTakenAt, Core::TimePoint aSentAt)
{
  const auto number = bucketNumber(aTakenAt);
  auto& bucket = bucketOf(number);
  if (aSentAt - aTakenAt >= kMaxSendDelay && bucket.number == number) {
    add(bucketNumber(aSentAt), std::exchange(bucket.count, 0));
  }
}

void
SlowStartLimiter::release(Core::TimePoint aTakenAt)
{
  const auto number = bucketNumber(aTakenAt);
  auto& bucket = bucketOf(number);
  if (bucket.number == number && bucket.count > 0) {
    --bucket.count;
  }
}

bool
SlowStartLimiter::isUsed(Core::TimePoint aTakenAt, Core::TimePoint aNow) const
{
  return bucketNumber(aNow) - bucketNumber(aTakenAt) < kUsedBuckets;
}

std::optional<std::chrono::milliseconds>
SlowStartLimiter::timeUntilChange(Core::TimePoint aNow) const
{
  if (!isActive(aNow)) {
    return std::nullopt;
  }
  auto changesAt = mEndsAt;
  if (aNow < mUnseenUntil) {
    changesAt = std::min(changesAt, mUnseenUntil);
  }
  const auto newestUnused = bucketNumber(aNow) - kUsedBuckets;
  for (const auto& bucket : mBuckets) {
    if (bucket.count > 0 && bucket.number > newestUnused) {
      const Core::TimePoint freeAt((bucket.number + kUsedBuckets) *
                                   kBucketTime);
      changesAt = std::min(changesAt, freeAt);
    }
  }
  return std::max(
    std::chrono::ceil<std::chrono::milliseconds>(changesAt - aNow),
    std::chrono::milliseconds(1));
}

std::int64_t
SlowStartLimiter::bucketNumber(Core::TimePoint aTime)
{
  return aTime.time_since_epoch() / kBucketTime;
}

SlowStartLimiter::Bucket&
SlowStartLimiter::bucketOf(std::int64_t aNumber)
{
  return mBuckets[static_cast<std::size_t>(aNumber) % mBuckets.size()];
}

void
SlowStartLimiter::add(std::int64_t aNumber, std::uint32_t aCount)
{
  auto& bucket = bucketOf(aNumber);
  if (bucket.number != aNumber) {
    bucket = { aNumber, 0 };
  }
  bucket.count += aCount;
}

std::uint32_t
SlowStartLimiter::usedCount(Core::TimePoint aNow) const
{
  const auto newestUnused = bucketNumber(aNow) - kUsedBuckets;
  std::uint32_t count = 0;
  for (const auto& bucket : mBuckets) {
    count += bucket.number > newestUnused ? bucket.count : 0;
  }
  return count;
}

} // namespace Steering
