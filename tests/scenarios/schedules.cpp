#include "randomschedule.h"
#include "scenariorunner.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

Scenarios::Scenario
makeScenario(const std::string& aKind, unsigned aSeed)
{
  if (aKind == "model") {
    return Scenarios::makeModelSchedule(aSeed);
  }
  return Scenarios::makeFaultSchedule(aSeed,
                                      aKind == "sleeps"
                                        ? Scenarios::kLongSuspensions
                                        : Scenarios::kShortSuspensions);
}

int
runSchedules(int aCount, char** aArguments)
{
  cxxopts::Options options("schedules",
                           "Runs random schedules in the simulation.");
  auto add = options.add_options();
  add("kind",
      "kind of schedules: faults, sleeps or model",
      cxxopts::value<std::string>()->default_value("faults"));
  add("count",
      "number of schedules",
      cxxopts::value<unsigned>()->default_value("100"));
  add("first", "first seed", cxxopts::value<unsigned>()->default_value("1"));
  const auto result = options.parse(aCount, aArguments);
  const auto kind = result["kind"].as<std::string>();
  const auto first = result["first"].as<unsigned>();
  const auto count = result["count"].as<unsigned>();
  unsigned failed = 0;
  for (auto seed = first; seed < first + count; ++seed) {
    const auto scenario = makeScenario(kind, seed);
    const auto status = Scenarios::runScenario(scenario);
    if (status.ok()) {
      continue;
    }
    if (++failed == 1) {
      std::cout << status.message() << "\nReduced steps that still fail:\n"
                << Scenarios::shrink(scenario).toText();
    } else {
      std::cout << status.message() << "\n";
    }
  }
  std::cout << count - failed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return runSchedules(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
