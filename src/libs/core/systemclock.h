#pragma once

#include "core/clock.h"

#include <ctime>

namespace Core {

/**
 * Reads CLOCK_BOOTTIME, which also advances while the machine is suspended, so
 * that a process can detect a suspension and measure its length.
 */
class SystemClock
{
public:
  TimePoint now() const
  {
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    return TimePoint(std::chrono::seconds(bootTime.tv_sec) +
                     std::chrono::nanoseconds(bootTime.tv_nsec));
  }
};

} // namespace Core
