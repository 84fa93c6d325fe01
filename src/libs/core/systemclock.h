#pragma once

#include "core/clock.h"

#include <ctime>

namespace Core {

/**
 * The machine's CLOCK_BOOTTIME, which goes on while the machine is suspended,
 * so that a process which slept can tell for how long.
 */
class SystemClock
{
public:
  TimePoint now() const
  {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return TimePoint(std::chrono::seconds(value.tv_sec) +
                     std::chrono::nanoseconds(value.tv_nsec));
  }
};

} // namespace Core
