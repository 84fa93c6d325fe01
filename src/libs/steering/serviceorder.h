#pragma once

#include "core/clock.h"

#include <absl/types/span.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace Steering {

/** A request or new flow that waits for a slot. */
struct WaitingRequest
{
  /** 0 is the most urgent. */
  std::uint8_t priority = 0;
  /** Start of the caller's waiting time, as far as known. */
  Core::TimePoint waitingSince{};
  /** End of the latency objective; an answer after this is late. */
  Core::TimePoint lateAt{};
  /** Time at which the caller gives up. */
  Core::TimePoint expiresAt{};
  /** Mean time from the delivery to the answer; 0 if not considered. */
  std::chrono::milliseconds serviceTime{ 0 };
  /** Order of arrival; unique within a queue. Breaks ties. */
  std::uint64_t number = 0;

  bool hasServiceTime() const { return serviceTime.count() > 0; }
  /** Whether the answer is almost certain to be within the objective. */
  bool isOnTime(Core::TimePoint aNow) const;
  /** Whether the answer is expected before the caller gives up. */
  bool isAnswerable(Core::TimePoint aNow) const
  {
    return aNow + serviceTime < expiresAt;
  }
};

/**
 * Decides which waiting request gets the next slot, under overload:
 *
 * - Requests that can still be answered on time come before late ones.
 * - Among these, the more urgent class comes first.
 * - Within a class, the oldest request comes first: it was selected because it
 *   can still be answered on time, while newer ones have more time left. That
 *   requires a reserve: with just the mean left, every second answer is late,
 *   and under a lasting overload all requests would be served with that. If the
 *   service time is not considered, the newest of those on time comes first:
 *   the older ones may be late in any case.
 * - A class that waits gets at least one of kShareInterval slots.
 *
 * Classes are told apart by their priority. Used by one thread.
 */
class ServiceOrder
{
public:
  /** A class that waits gets at least one of this number of slots. */
  static constexpr std::uint8_t kShareInterval = 10;
  /**
   * A request is on time while this many mean service times are left. One
   * request in twenty takes longer if their standard deviation is half of the
   * mean.
   */
  static constexpr int kOnTimeReserve = 2;
  static constexpr std::size_t kClassCount =
    std::numeric_limits<std::uint8_t>::max() + 1;

  /** True if aLeft is served before aRight, the share of classes aside. */
  static bool isServedBefore(const WaitingRequest& aLeft,
                             const WaitingRequest& aRight,
                             Core::TimePoint aNow);
  /**
   * Returns the index of the next request, given the first request of each
   * class in the order of isServedBefore(). A class may occur more than once.
   * aHeads must not be empty.
   */
  std::size_t selectNext(absl::Span<const WaitingRequest> aHeads,
                         Core::TimePoint aNow) const;
  /**
   * Records that the request aServed of aHeads got a slot, for the share of the
   * other classes.
   */
  void recordServed(absl::Span<const WaitingRequest> aHeads,
                    std::size_t aServed);

  /**
   * The service time to expect of a request when the mean of its server is
   * aMean. The reserve is at most half of the latency objective, since a server
   * whose mean was raised by a suspension would otherwise get no request from
   * which a lower mean could be learned.
   */
  static std::chrono::milliseconds expectedServiceTime(
    std::chrono::milliseconds aMean,
    std::chrono::milliseconds aLatencyObjective);

private:
  /**
   * Whether the class and those that have waited at least as long need all
   * slots that are left of their intervals.
   */
  bool isShareDue(absl::Span<const WaitingRequest> aHeads,
                  std::uint8_t aPriority) const;

  /** Slots that other classes got while the class waited, by priority. */
  std::array<std::uint8_t, kClassCount> mSlotsSinceService{};
};

} // namespace Steering
