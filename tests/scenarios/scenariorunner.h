#pragma once

#include "scenario.h"

#include <absl/status/status.h>

namespace Scenarios {

/**
 * Runs a scenario in a world of its own. The error names the file, the line,
 * and what was expected and found; the promises that hold in every world are
 * checked at the end.
 */
absl::Status
runScenario(const Scenario& aScenario);

} // namespace Scenarios
