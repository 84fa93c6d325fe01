#include "flowworld/flowschedule.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

int
playAll(unsigned aFirst, unsigned aCount)
{
  std::size_t requests = 0;
  std::size_t answered = 0;
  unsigned failed = 0;
  for (unsigned seed = aFirst; seed < aFirst + aCount; ++seed) {
    const auto result = FlowWorld::playSchedule(seed);
    requests += result.requests;
    answered += result.answered;
    if (result.broken.empty()) {
      continue;
    }
    ++failed;
    std::cout << "seed " << seed << "\n";
    for (const auto& line : result.actions) {
      std::cout << "  " << line << "\n";
    }
    for (const auto& line : result.broken) {
      std::cout << "  BROKEN: " << line << "\n";
    }
  }
  std::cout << aCount << " schedules from seed " << aFirst << ", " << failed
            << " broke a promise; " << answered << " of " << requests
            << " requests answered\n";
  return failed == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    cxxopts::Options options(
      "flowschedules", "Plays random faults against flows of the platform.");
    auto add = options.add_options();
    add("count",
        "how many schedules",
        cxxopts::value<unsigned>()->default_value("100"));
    add(
      "seed", "the first seed", cxxopts::value<unsigned>()->default_value("1"));
    add("help", "print this help");
    const auto result = options.parse(aCount, aArguments);
    if (result.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return playAll(result["seed"].as<unsigned>(),
                   result["count"].as<unsigned>());
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
