#include "benches.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>

namespace {

using Bench::Records;

void
printAndAppend(const Records& aNewRecords, Records& aAllRecords)
{
  Bench::printTable(aNewRecords);
  aAllRecords.insert(aAllRecords.end(), aNewRecords.begin(), aNewRecords.end());
}

int
runBenchmarks(int aCount, char** aArguments)
{
  cxxopts::Options options("bench",
                           "Measures performance and capacity figures.");
  auto add = options.add_options();
  add("parts",
      "benchmarks to run, by default all: spread, faults, datapath, relay, "
      "view, fleet",
      cxxopts::value<std::vector<std::string>>());
  add("seed",
      "seed of the spread benchmark",
      cxxopts::value<unsigned>()->default_value("1"));
  add("schedules",
      "number of schedules of the faults benchmark",
      cxxopts::value<unsigned>()->default_value("800"));
  add("json", "output file for the records", cxxopts::value<std::string>());
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
      printAndAppend(Bench::runSpread(result["seed"].as<unsigned>()), records);
    } else if (part == "faults") {
      printAndAppend(Bench::runFaults(result["schedules"].as<unsigned>()),
                     records);
    } else if (part == "datapath") {
      printAndAppend(Bench::runDataPath(), records);
    } else if (part == "relay") {
      printAndAppend(Bench::runRelay(), records);
    } else if (part == "view") {
      printAndAppend(Bench::runView(), records);
    } else if (part == "fleet") {
      for (const std::size_t nodes : { 16, 64, 256 }) {
        printAndAppend(Bench::runFleet(nodes), records);
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
    return runBenchmarks(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
