#pragma once

#include <string>

/**
 * Runs the role "balancer" or "agent" on the native interface, with settings
 * from a JSON file. Returns the exit code.
 */
int
runNativeRole(const std::string& aRole, const std::string& aSettingsFile);
