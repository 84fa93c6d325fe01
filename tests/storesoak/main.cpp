#include "storesoak.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

int
run(const StoreSoak::Settings& aSettings)
{
  StoreSoak soak(aSettings);
  const auto violations = soak.run();
  for (const auto& violation : violations) {
    std::cout << "VIOLATION: " << violation << "\n";
  }
  std::cout << "seed " << aSettings.seed << ": " << violations.size()
            << " violations, " << soak.checkedChangeCount()
            << " changes checked, " << soak.storeCallCount()
            << " calls of the store\n";
  const bool isMeaningful = soak.checkedChangeCount() > 0;
  return violations.empty() && isMeaningful ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    StoreSoak::Settings settings;
    cxxopts::Options options(
      "storesoak",
      "Follows a stand-in for the platform's store that fails at random.");
    auto add = options.add_options();
    add("seed",
        "seed of the faults and changes",
        cxxopts::value<unsigned>()->default_value("1"));
    add("seconds",
        "duration of the run",
        cxxopts::value<int>()->default_value("60"));
    add("processes",
        "number of processes that follow the store",
        cxxopts::value<std::size_t>()->default_value("8"));
    add("help", "print this help");
    const auto result = options.parse(aCount, aArguments);
    if (result.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    settings.seed = result["seed"].as<unsigned>();
    settings.duration = std::chrono::seconds(result["seconds"].as<int>());
    settings.processCount = result["processes"].as<std::size_t>();
    return run(settings);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
