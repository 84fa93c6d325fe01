#pragma once

#include <cxxopts.hpp>

namespace StandIns {

/*
 * Each function runs one stand-in until SIGTERM or SIGINT, or until the calls
 * are finished, and returns the exit status.
 */

int
runPlatformService(const cxxopts::ParseResult& aOptions);

int
runFabric(const cxxopts::ParseResult& aOptions);

int
runBackendServer(const cxxopts::ParseResult& aOptions);

int
runCallers(const cxxopts::ParseResult& aOptions);

/** True after SIGTERM or SIGINT. */
bool
isStopRequested();

} // namespace StandIns
