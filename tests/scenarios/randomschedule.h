#pragma once

#include "scenario.h"

namespace Scenarios {

/** Replay window and packet delays of a schedule, in simulated time. */
struct ScheduleLimits
{
  /** Replay window of the configuration document. */
  unsigned replayWindowMilliseconds;
  /** Maximum delay of a packet between two processes. */
  unsigned maxDelayMilliseconds;
};

/** The longest wait of a schedule is shorter than the replay window. */
constexpr ScheduleLimits kShortSuspensions{ 120'000, 60'000 };
/**
 * The longest wait of a schedule is many times the replay window, which is that
 * of the documents in examples/.
 */
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

/** Returns the shortest failing scenario that removal of steps has found. */
Scenario
shrink(const Scenario& aScenario);

} // namespace Scenarios
