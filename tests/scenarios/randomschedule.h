#pragma once

#include "scenario.h"

namespace Scenarios {

/** How late packets come in a schedule, in virtual milliseconds. */
struct ScheduleLimits
{
  /** The replay window of the document. */
  unsigned windowMilliseconds;
  /** The longest time of a packet between two processes. */
  unsigned delayMilliseconds;
};

/** Processes sleep for a part of the replay window. */
constexpr ScheduleLimits kShortSleeps{ 120'000, 60'000 };
/** Processes sleep for many times the replay window of the examples. */
constexpr ScheduleLimits kLongSleeps{ 2'000, 400 };

/** Flows that must not run twice, under every kind of fault at random. */
Scenario
makeFaultSchedule(unsigned aSeed, const ScheduleLimits& aLimits);

/**
 * A scenario without faults whose outcome a model with one global view of
 * free slots tells: each flow is answered or refused as the model says.
 */
Scenario
makeModelSchedule(unsigned aSeed);

/** The fewest steps of a failing scenario that still fail. */
Scenario
shrink(const Scenario& aScenario);

} // namespace Scenarios
