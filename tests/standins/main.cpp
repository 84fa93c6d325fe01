#include "commands.h"

#include <atomic>
#include <csignal>
#include <iostream>

namespace {

std::atomic<bool> sStopRequested = false;

cxxopts::Options
makeOptions()
{
  cxxopts::Options options("standin", "Stand-ins for tests and the demo.");
  auto add = options.add_options();
  add("kind",
      "platform, fabric, backend or callers",
      cxxopts::value<std::string>());
  add("listen", "own endpoint", cxxopts::value<std::string>());
  add("agent", "the agent's backend port", cxxopts::value<std::string>());
  add("fabric", "the fabric's endpoint", cxxopts::value<std::string>());
  add("platform", "the platform's endpoint", cxxopts::value<std::string>());
  add("service", "name of the service", cxxopts::value<std::string>());
  add("target", "name of the target", cxxopts::value<std::string>());
  add("control", "HTTP endpoint for the test", cxxopts::value<std::string>());
  add("document",
      "document whose classes are called",
      cxxopts::value<std::string>());
  add("seed",
      "seed of everything random",
      cxxopts::value<unsigned>()->default_value("1"));
  add("loss",
      "share of packets lost, per mille",
      cxxopts::value<unsigned>()->default_value("0"));
  add("seconds",
      "how long new requests are made",
      cxxopts::value<unsigned>()->default_value("10"));
  add("rate",
      "requests a second of each request class",
      cxxopts::value<unsigned>()->default_value("20"));
  add("streams",
      "streams of each stream class",
      cxxopts::value<unsigned>()->default_value("20"));
  add("json", "file for the result", cxxopts::value<std::string>());
  options.parse_positional({ "kind" });
  return options;
}

int
runStandIn(int aCount, char** aArguments)
{
  auto options = makeOptions();
  const auto result = options.parse(aCount, aArguments);
  const auto kind = result["kind"].as<std::string>();
  if (kind == "platform") {
    return StandIns::runPlatformService(result);
  }
  if (kind == "fabric") {
    return StandIns::runFabric(result);
  }
  if (kind == "backend") {
    return StandIns::runBackendServer(result);
  }
  if (kind == "callers") {
    return StandIns::runCallers(result);
  }
  std::cerr << options.help();
  return 2;
}

} // namespace

bool
StandIns::isStopRequested()
{
  return sStopRequested;
}

int
main(int aCount, char** aArguments)
{
  for (const int signal : { SIGTERM, SIGINT }) {
    std::signal(signal, [](int) { sStopRequested = true; });
  }
  try {
    return runStandIn(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
