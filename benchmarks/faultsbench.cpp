#include "benches.h"

#include "scenarios/randomschedule.h"
#include "scenarios/scenariorunner.h"

#include <algorithm>
#include <thread>

namespace Bench {

namespace {

struct Tally
{
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
};

Tally
runRange(unsigned aFirst, unsigned aCount)
{
  Tally tally;
  for (auto seed = aFirst; seed < aFirst + aCount; ++seed) {
    const auto scenario =
      Scenarios::makeFaultSchedule(seed, Scenarios::kShortSleeps);
    tally.requests += std::count_if(
      scenario.steps.begin(), scenario.steps.end(), [](const auto& aStep) {
        return aStep.words.front() == "open" || aStep.words.front() == "repeat";
      });
    tally.failed += Scenarios::runScenario(scenario).ok() ? 0 : 1;
  }
  return tally;
}

} // namespace

Records
runFaults(unsigned aSchedules)
{
  const auto threads = std::max(1U, std::thread::hardware_concurrency());
  const auto share = aSchedules / threads;
  std::vector<Tally> tallies(threads);
  {
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i) {
      workers.emplace_back([&tallies, i, share] {
        tallies[i] = runRange(100'000 + i * share, share);
      });
    }
  }
  Tally sum;
  for (const auto& it : tallies) {
    sum.requests += it.requests;
    sum.failed += it.failed;
  }
  return { { "requests and repeats sent under random faults",
             static_cast<double>(sum.requests),
             "requests" },
           { "schedules with a request run twice or after \"not run\"",
             static_cast<double>(sum.failed),
             "schedules",
             0 } };
}

} // namespace Bench
