#pragma once

#include "config/settings.h"

#include <absl/status/status.h>

/**
 * Runs a balancer until a stop is requested. An error names the failed step and
 * the peer.
 */
absl::Status
runBalancer(const Config::BalancerSettings& aSettings);
