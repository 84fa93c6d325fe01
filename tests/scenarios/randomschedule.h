#pragma once

#include "scenario.h"

namespace Scenarios {

/** Limits of packet delays in a schedule, in simulated time. */
struct ScheduleLimits
{
  /** Replay window of the configuration document. */
  unsigned replayWindowMilliseconds;
  /** Maximum delay of a packet between two processes. */
  unsigned maxDelayMilliseconds;
};

/** Processes are suspended for less than the replay window. */
constexpr ScheduleLimits kShortSuspensions{ 120'000, 60'000 };
/** Processes are suspended for many times the examples' replay window. */
constexpr ScheduleLimits kLongSuspensions{ 2'000, 400 };

/** Non-idempotent requests under random faults of every kind. */
Scenario
makeFaultSchedule(unsigned aSeed, const ScheduleLimits& aLimits);

/**
 * A scenario without faults. A model that knows the free slots of all targets
 * predicts which flows are answered and which are refused.
 */
Scenario
makeModelSchedule(unsigned aSeed);

/** Returns a failing scenario without steps that the failure doesn't need. */
Scenario
shrink(const Scenario& aScenario);

} // namespace Scenarios
