#pragma once

#include "scenario.h"

#include <absl/status/status.h>

namespace Scenarios {

/**
 * Runs a scenario in a new simulation and checks the simulation's invariants at
 * the end. The error contains the file, the line, the step, and what was found.
 */
absl::Status
runScenario(const Scenario& aScenario);

} // namespace Scenarios
