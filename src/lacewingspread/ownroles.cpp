#include "ownroles.h"

#include "agent.h"
#include "balancer.h"
#include "exitcode.h"

#include "telemetry/eventlog.h"

#include <sodium.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <variant>

int
runOwnRole(const std::string& aRole, const std::string& aFile)
{
  if (sodium_init() < 0) {
    std::cerr << "the cryptography library cannot start\n";
    return kFailure;
  }
  std::ifstream stream(aFile);
  if (!stream) {
    std::cerr << aFile << ": cannot be read\n";
    return kBadSettings;
  }
  std::stringstream text;
  text << stream.rdbuf();
  const auto run = [](const auto& aSettings, auto aRun) -> int {
    if (const auto* faults = std::get_if<Config::Diagnostics>(&aSettings)) {
      for (const auto& it : *faults) {
        std::cerr << it.toString() << "\n";
      }
      return kBadSettings;
    }
    const auto& settings = std::get<0>(aSettings);
    const auto status = aRun(settings);
    if (!status.ok()) {
      Telemetry::EventLog({ settings.common.name,
                            settings.common.log.level,
                            settings.common.log.json })
        .write(Telemetry::Event::StartFailed, status.message());
      return kFailure;
    }
    return kSuccess;
  };
  if (aRole == "balancer") {
    return run(Config::parseBalancerSettings(aFile, text.str()), runBalancer);
  }
  return run(Config::parseAgentSettings(aFile, text.str()), runAgent);
}
