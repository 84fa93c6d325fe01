#pragma once

#include <string>

/**
 * Runs "balancer" or "agent" on the product's own interface, by a settings
 * file in JSON. Returns the exit code.
 */
int
runOwnRole(const std::string& aRole, const std::string& aFile);
