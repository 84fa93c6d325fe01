#include "agent.h"
#include "balancer.h"

#include "telemetry/eventlog.h"

#include <cxxopts.hpp>
#include <sodium.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <variant>

namespace {

/** Exit codes, as documented in docs/operators/settings.md. */
enum ExitCode : int
{
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
  kBadSettings = 3,
};

int
runRole(const std::string& aRole, const std::string& aFile)
{
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

cxxopts::Options
makeOptions()
{
  cxxopts::Options options("lacewingspread",
                           "A layer-4 load balancer: balancer or agent.");
  options.positional_help("balancer|agent");
  auto add = options.add_options();
  add("role", "balancer or agent", cxxopts::value<std::string>());
  add("settings",
      "the settings file (JSON with comments)",
      cxxopts::value<std::string>());
  add("help", "print this help");
  add("version", "print the version");
  options.parse_positional({ "role" });
  return options;
}

int
runCommand(int aCount, char** aArguments)
{
  auto options = makeOptions();
  const auto result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help();
    return kSuccess;
  }
  if (result.count("version") > 0) {
    std::cout << "lacewingspread " LACEWING_VERSION "\n";
    return kSuccess;
  }
  const auto role =
    result.count("role") > 0 ? result["role"].as<std::string>() : "";
  const bool isKnown = role == "balancer" || role == "agent";
  if (!isKnown || result.count("settings") == 0) {
    std::cerr << "usage: lacewingspread balancer|agent --settings FILE\n";
    return kUsage;
  }
  return runRole(role, result["settings"].as<std::string>());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (sodium_init() < 0) {
    std::cerr << "the cryptography library cannot start\n";
    return kFailure;
  }
  try {
    return runCommand(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsage;
  }
}
