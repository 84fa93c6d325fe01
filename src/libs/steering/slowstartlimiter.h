#pragma once

#include "steering/agentmessage.h"

#include "core/clock.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>

namespace Steering {

/**
 * Limits the requests that a cold backend server gets in any one second, as
 * required by docs/LOAD.md, section 3. Used by its agent, which is the only
 * component that sees all of them. The limit comes from the balancers'
 * messages. Each request takes a place in a sliding window; requests are
 * counted without a limit too, since the agent may learn it later. Used by one
 * thread.
 */
class SlowStartLimiter
{
public:
  static constexpr std::chrono::milliseconds kWindow{ 1'000 };
  /**
   * The time between agent and backend server differs from request to request,
   * so a place is used for longer than the window. 50 ms is half of the 100 ms
   * in which a process with a fraction of a core is scheduled once.
   */
  static constexpr std::chrono::milliseconds kMargin{ 50 };
  /** The part of the margin that covers the delay within the agent. */
  static constexpr std::chrono::milliseconds kMaxSendDelay{ 20 };
  /** Resolution of the window; a place is used for up to two of these longer.
   */
  static constexpr std::chrono::milliseconds kBucketTime{ 10 };
  static constexpr std::uint32_t kUnlimited =
    std::numeric_limits<std::uint32_t>::max();

  /**
   * What the backend server got before aStartedAt is unknown, so the window has
   * no room until this has left it.
   */
  explicit SlowStartLimiter(Core::TimePoint aStartedAt);

  /**
   * Uses the state in a balancer's message: std::nullopt if the backend server
   * is not cold or has no limit. A message with an older fleet map than known
   * has no effect. Returns true if the limit was not active before and is now.
   */
  bool learn(const std::optional<SlowStart>& aSlowStart,
             const MapRevision& aMapRevision,
             Core::TimePoint aNow);

  bool isActive(Core::TimePoint aNow) const;
  /** The free places of the window; kUnlimited without an active limit. */
  std::uint32_t budget(Core::TimePoint aNow) const;
  /** Takes a place, whether one is free or not. */
  void take(Core::TimePoint aNow);
  /**
   * Moves the places that were taken at aTakenAt if their requests were sent so
   * much later, at aSentAt, that the margin does not cover it.
   */
  void move(Core::TimePoint aTakenAt, Core::TimePoint aSentAt);
  /** Frees a place that was taken at aTakenAt; no-op if it is free again. */
  void release(Core::TimePoint aTakenAt);
  /** Whether a place that was taken at aTakenAt is still used. */
  bool isUsed(Core::TimePoint aTakenAt, Core::TimePoint aNow) const;
  /**
   * Time until places become free or the limit ends, at least 1 ms;
   * std::nullopt without an active limit.
   */
  std::optional<std::chrono::milliseconds> timeUntilChange(
    Core::TimePoint aNow) const;

private:
  /** The places that were taken in one period of kBucketTime. */
  struct Bucket
  {
    std::int64_t number = 0;
    std::uint32_t count = 0;
  };
  /** Buckets that count, rounded up so that each place is used long enough. */
  static constexpr std::int64_t kUsedBuckets =
    (kWindow + kMargin) / kBucketTime + 1;

  static std::int64_t bucketNumber(Core::TimePoint aTime);
  Bucket& bucketOf(std::int64_t aNumber);
  void add(std::int64_t aNumber, std::uint32_t aCount);
  std::uint32_t usedCount(Core::TimePoint aNow) const;

  std::array<Bucket, kUsedBuckets + 1> mBuckets{};
  /** Until then the window has no room after the agent's start. */
  Core::TimePoint mUnseenUntil;
  MapRevision mMapRevision;
  std::uint32_t mLimit = 0;
  Core::TimePoint mEndsAt{};
};

} // namespace Steering
