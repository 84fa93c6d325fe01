#pragma once

#include "config/settings.h"

#include <absl/status/status.h>

/**
 * Runs an agent until a stop is requested and its flows have ended, at most for
 * the drain deadline. An error names the failed step and the peer.
 */
absl::Status
runAgent(const Config::AgentSettings& aSettings);
