#include "benches.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace {

using Bench::Records;

void
append(const Records& aPart, Records& aAll)
{
  Bench::printTable(aPart);
  aAll.insert(aAll.end(), aPart.begin(), aPart.end());
}

int
runBenches(int aCount, char** aArguments)
{
  cxxopts::Options options("bench", "Measures the system's figures.");
  auto add = options.add_options();
  add("parts",
      "spread, faults, datapath, relay, view, fleet",
      cxxopts::value<std::vector<std::string>>());
  add("seed", "seed", cxxopts::value<unsigned>()->default_value("1"));
  add("schedules",
      "fault schedules",
      cxxopts::value<unsigned>()->default_value("800"));
  add("json", "file for the records", cxxopts::value<std::string>());
  options.parse_positional({ "parts" });
  const auto result = options.parse(aCount, aArguments);
  std::vector<std::string> parts{ "spread", "faults", "datapath",
                                  "relay",  "view",   "fleet" };
  if (result.count("parts") > 0) {
    parts = result["parts"].as<std::vector<std::string>>();
  }
  Records records;
  for (const auto& part : parts) {
    if (part == "spread") {
      append(Bench::runSpread(result["seed"].as<unsigned>()), records);
    } else if (part == "faults") {
      append(Bench::runFaults(result["schedules"].as<unsigned>()), records);
    } else if (part == "datapath") {
      append(Bench::runDataPath(), records);
    } else if (part == "relay") {
      append(Bench::runRelay(), records);
    } else if (part == "view") {
      append(Bench::runView(), records);
    } else if (part == "fleet") {
      for (const std::size_t nodes : { 16, 64, 256 }) {
        append(Bench::runFleet(nodes), records);
      }
    } else {
      std::cerr << options.help();
      return 2;
    }
  }
  if (result.count("json") > 0) {
    std::ofstream(result["json"].as<std::string>()) << Bench::toJson(records);
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return runBenches(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
