#pragma once

#include <chrono>
#include <concepts>

namespace Core {

/** Tag for a monotonic clock that includes the time a machine is suspended. */
struct ClockTag
{
  using rep = std::chrono::nanoseconds::rep;
  using period = std::chrono::nanoseconds::period;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<ClockTag>;
  static constexpr bool is_steady = true;
};

using TimePoint = ClockTag::time_point;
using Duration = ClockTag::duration;

/** A source of the current time; tests use a manual clock. */
template<typename T>
concept Clock = requires(const T& aClock)
{
  {
    aClock.now()
    } -> std::same_as<TimePoint>;
};

} // namespace Core
