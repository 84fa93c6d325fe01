#include "nativeroles.h"

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
runNativeRole(const std::string& aRole, const std::string& aFile)
{
  if (sodium_init() < 0) {
    std::cerr << "cannot initialize the cryptography library\n";
    return kFailure;
  }
  std::ifstream stream(aFile);
  if (!stream) {
    std::cerr << aFile << ": cannot be read\n";
    return kBadSettings;
  }
  std::stringstream text;
  text << stream.rdbuf();
  const auto runRole = [](const auto& aSettings, auto aRun) -> int {
    if (const auto* errors = std::get_if<Config::Diagnostics>(&aSettings)) {
      for (const auto& it : *errors) {
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
    return runRole(Config::parseBalancerSettings(aFile, text.str()),
                   runBalancer);
  }
  return runRole(Config::parseAgentSettings(aFile, text.str()), runAgent);
}
