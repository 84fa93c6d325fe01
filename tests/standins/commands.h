#pragma once

#include <cxxopts.hpp>

namespace StandIns {

/** Each runs one stand-in until it is told to stop; returns the exit code. */
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
