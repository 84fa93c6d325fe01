#include "exitcode.h"
#include "nativeroles.h"

#include "platform/agentnode.h"
#include "platform/balancernode.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

int
runPlatformRole(const std::string& aRole)
{
  const auto status = aRole == "balancer" ? Platform::runBalancerNode()
                                          : Platform::runAgentNode();
  if (status.ok()) {
    return kSuccess;
  }
  std::cerr << status.message() << "\n";
  return absl::IsInvalidArgument(status) ? kBadSettings : kFailure;
}

cxxopts::Options
makeOptions()
{
  cxxopts::Options options(
    "lacewingspread",
    "Runs a balancer or an agent of a layer-4 load balancer.");
  options.positional_help("balancer|agent");
  auto add = options.add_options();
  add("role", "balancer or agent", cxxopts::value<std::string>());
  add("settings",
      "settings file (JSON with comments)",
      cxxopts::value<std::string>());
  add("platform", "get settings and packets from the platform");
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
  const bool isValidRole = role == "balancer" || role == "agent";
  const bool isOnPlatform = result.count("platform") > 0;
  if (!isValidRole || isOnPlatform == (result.count("settings") > 0)) {
    std::cerr << "usage: lacewingspread balancer|agent "
                 "--settings FILE | --platform\n";
    return kUsageError;
  }
  if (isOnPlatform) {
    return runPlatformRole(role);
  }
  return runNativeRole(role, result["settings"].as<std::string>());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return runCommand(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsageError;
  }
}
