#pragma once

#include "core/clock.h"

#include <ctime>

namespace Core {

/**
 * CLOCK_BOOTTIME, which continues while the machine is suspended, so that a
 * process can tell how long it did not run.
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
