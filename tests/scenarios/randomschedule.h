#pragma once

#include "scenario.h"

namespace Scenarios {

/** Flows that must not run twice, under every kind of fault at random. */
Scenario
makeFaultSchedule(unsigned aSeed);

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
