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
runNativeRole(const std::string& aRole, const std::string& aSettingsFile)
{
  if (sodium_init() < 0) {
    std::cerr << "cannot initialize the cryptography library\n";
    return kFailure;
  }
  std::ifstream stream(aSettingsFile);
  if (!stream) {
    std::cerr << aSettingsFile << ": cannot be read\n";
    return kBadSettings;
  }
  std::stringstream text;
  text << stream.rdbuf();
  const auto runRole = [](const auto& aParseResult, auto aRun) -> int {
    if (const auto* errors = std::get_if<Config::Diagnostics>(&aParseResult)) {
      for (const auto& error : *errors) {
        std::cerr << error.toString() << "\n";
      }
      return kBadSettings;
    }
    const auto& settings = std::get<0>(aParseResult);
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
    return runRole(Config::parseBalancerSettings(aSettingsFile, text.str()),
                   runBalancer);
  }
  return runRole(Config::parseAgentSettings(aSettingsFile, text.str()),
                 runAgent);
}
