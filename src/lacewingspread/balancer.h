#pragma once

#include "config/settings.h"

#include <absl/status/status.h>

/** Runs a balancer until it is told to stop; errors tell step and peer. */
absl::Status
runBalancer(const Config::BalancerSettings& aSettings);
