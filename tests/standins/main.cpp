#include "commands.h"

#include <atomic>
#include <csignal>
#include <iostream>

namespace {

std::atomic<bool> sStopRequested = false;

cxxopts::Options
makeOptions()
{
  cxxopts::Options options(
    "standin",
    "Stand-ins for the platform, the fabric, backend servers and callers.");
  auto add = options.add_options();
  add("kind",
      "platform, fabric, backend or callers",
      cxxopts::value<std::string>());
  add("listen", "endpoint to listen on", cxxopts::value<std::string>());
  add("agent",
      "the agent's endpoint for its backend server",
      cxxopts::value<std::string>());
  add("fabric", "endpoint of the fabric", cxxopts::value<std::string>());
  add("platform", "endpoint of the platform", cxxopts::value<std::string>());
  add("service", "name of the service", cxxopts::value<std::string>());
  add("target", "name of the target", cxxopts::value<std::string>());
  add("control",
      "HTTP endpoint that reports the runs",
      cxxopts::value<std::string>());
  add("document",
      "document that names the service classes to call",
      cxxopts::value<std::string>());
  add("seed",
      "seed of the random numbers",
      cxxopts::value<unsigned>()->default_value("1"));
  add("loss",
      "packet loss, per mille",
      cxxopts::value<unsigned>()->default_value("0"));
  add("seconds",
      "duration of the load, in seconds",
      cxxopts::value<unsigned>()->default_value("10"));
  add("rate",
      "requests per second for each request class",
      cxxopts::value<unsigned>()->default_value("20"));
  add("streams",
      "streams for each stream class",
      cxxopts::value<unsigned>()->default_value("20"));
  add("json", "file to write the result to", cxxopts::value<std::string>());
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
