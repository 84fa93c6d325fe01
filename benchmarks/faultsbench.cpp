#include "benches.h"

#include "scenarios/randomschedule.h"
#include "scenarios/scenariorunner.h"

#include <algorithm>
#include <thread>

namespace Bench {

namespace {

struct Counts
{
  std::uint64_t requests = 0;
  std::uint64_t failedSchedules = 0;
};

Counts
runSchedules(unsigned aFirstSeed, unsigned aCount)
{
  Counts counts;
  for (auto seed = aFirstSeed; seed < aFirstSeed + aCount; ++seed) {
    const auto scenario =
      Scenarios::makeFaultSchedule(seed, Scenarios::kShortSuspensions);
    counts.requests += std::count_if(
      scenario.steps.begin(), scenario.steps.end(), [](const auto& aStep) {
        return aStep.tokens.front() == "open" ||
               aStep.tokens.front() == "repeat";
      });
    counts.failedSchedules += Scenarios::runScenario(scenario).ok() ? 0 : 1;
  }
  return counts;
}

} // namespace

Records
runFaults(unsigned aScheduleCount)
{
  const auto threads = std::max(1U, std::thread::hardware_concurrency());
  const auto schedulesPerThread = aScheduleCount / threads;
  std::vector<Counts> countsByThread(threads);
  {
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i) {
      workers.emplace_back([&countsByThread, i, schedulesPerThread] {
        countsByThread[i] =
          runSchedules(100'000 + i * schedulesPerThread, schedulesPerThread);
      });
    }
  }
  Counts total;
  for (const auto& it : countsByThread) {
    total.requests += it.requests;
    total.failedSchedules += it.failedSchedules;
  }
  return { { "requests and repeats sent under random faults",
             static_cast<double>(total.requests),
             "requests" },
           { "schedules with a request run twice or after \"not run\"",
             static_cast<double>(total.failedSchedules),
             "schedules",
             0 } };
}

} // namespace Bench
