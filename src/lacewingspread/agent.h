#pragma once

#include "config/settings.h"

#include <absl/status/status.h>

/** Runs an agent until it is told to stop and its flows have ended. */
absl::Status
runAgent(const Config::AgentSettings& aSettings);
