#include "benches.h"

#include "simulation/fleetsimulation.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

namespace Bench {

namespace {

constexpr std::size_t kTargetCount = 7;
constexpr double kMeanWorkSeconds = 1.0;
constexpr std::chrono::milliseconds kLinkDelay{ 5 };
/** Link delay plus the interval of load reports, plus one step for each. */
constexpr int kReportDelayMilliseconds = 12;

struct Request
{
  std::int64_t arrivalMilliseconds = 0;
  std::int64_t workMilliseconds = 0;
};

struct LoadProfile
{
  std::uint32_t slots = 7;
  /** Offered work as a fraction of the capacity of all slots. */
  double offeredShare = 0.8;
  std::chrono::seconds duration{ 300 };
  /** Factor by which the first target's work times are longer. */
  int firstTargetSlowdown = 1;
  /** As in the configuration documents of both users. */
  std::chrono::milliseconds waitLimit{ 500 };
};

struct Outcome
{
  /** Maximum over mean of the targets' requests in progress, averaged. */
  double maxToMean = 0;
  double refusedShare = 0;
  std::uint64_t refusedWithFreeSlot = 0;
  /** The slot had been free for longer than kReportDelayMilliseconds. */
  std::uint64_t refusedWithReportedFreeSlot = 0;
  double completedPerSecond = 0;
};

/** Requests with Poisson arrivals and exponential work times. */
std::vector<Request>
makeRequests(const LoadProfile& aProfile, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  const double rate =
    aProfile.offeredShare * kTargetCount * aProfile.slots / kMeanWorkSeconds;
  std::exponential_distribution<double> interarrivalTime(rate / 1000);
  std::exponential_distribution<double> workTime(1 / (kMeanWorkSeconds * 1000));
  const auto end =
    std::chrono::duration_cast<std::chrono::milliseconds>(aProfile.duration)
      .count();
  std::vector<Request> requests;
  auto arrival = interarrivalTime(random);
  while (arrival < static_cast<double>(end)) {
    requests.push_back({ static_cast<std::int64_t>(arrival),
                         1 + static_cast<std::int64_t>(workTime(random)) });
    arrival += interarrivalTime(random);
  }
  return requests;
}

/**
 * Adds the ratio of the maximum to the mean of aInUse to aSum and increments
 * aCount. No-op if no request is in progress.
 */
void
addSample(const std::vector<std::uint32_t>& aInUse, double& aSum, int& aCount)
{
  const auto total = std::accumulate(aInUse.begin(), aInUse.end(), 0U);
  if (total == 0) {
    return;
  }
  const auto maximum = *std::max_element(aInUse.begin(), aInUse.end());
  aSum += maximum * static_cast<double>(aInUse.size()) / total;
  ++aCount;
}

/**
 * Runs a model without delays. aSelectTarget returns the index of the target
 * for a request, or kTargetCount for none.
 */
Outcome
runModel(const LoadProfile& aProfile,
         const std::vector<Request>& aRequests,
         const std::function<std::size_t(const std::vector<std::uint32_t>&)>&
           aSelectTarget)
{
  std::vector<std::uint32_t> inUse(kTargetCount, 0);
  std::vector<std::pair<std::int64_t, std::size_t>> completions;
  Outcome outcome;
  double sum = 0;
  int samples = 0;
  std::size_t refused = 0;
  std::size_t nextRequest = 0;
  const auto duration =
    std::chrono::duration_cast<std::chrono::milliseconds>(aProfile.duration)
      .count();
  for (std::int64_t now = 0; now < duration; ++now) {
    while (!completions.empty() && completions.front().first <= now) {
      std::pop_heap(completions.begin(), completions.end(), std::greater<>());
      --inUse[completions.back().second];
      completions.pop_back();
      outcome.completedPerSecond += 1;
    }
    for (; nextRequest < aRequests.size() &&
           aRequests[nextRequest].arrivalMilliseconds <= now;
         ++nextRequest) {
      const auto target = aSelectTarget(inUse);
      if (target >= kTargetCount || inUse[target] >= aProfile.slots) {
        ++refused;
        const bool hadFreeSlot =
          std::any_of(inUse.begin(), inUse.end(), [&](std::uint32_t aInUse) {
            return aInUse < aProfile.slots;
          });
        outcome.refusedWithFreeSlot += hadFreeSlot ? 1 : 0;
        continue;
      }
      const auto slowdown = target == 0 ? aProfile.firstTargetSlowdown : 1;
      ++inUse[target];
      completions.emplace_back(
        now + aRequests[nextRequest].workMilliseconds * slowdown, target);
      std::push_heap(completions.begin(), completions.end(), std::greater<>());
    }
    addSample(inUse, sum, samples);
  }
  outcome.maxToMean = sum / samples;
  outcome.refusedShare = static_cast<double>(refused) / aRequests.size();
  outcome.completedPerSecond /= static_cast<double>(aProfile.duration.count());
  return outcome;
}

std::size_t
leastLoadedTarget(const std::vector<std::uint32_t>& aInUse)
{
  return std::min_element(aInUse.begin(), aInUse.end()) - aInUse.begin();
}

Outcome
runIdeal(const LoadProfile& aProfile, const std::vector<Request>& aRequests)
{
  return runModel(aProfile, aRequests, leastLoadedTarget);
}

/**
 * Models a balancer that selects a target by a hash of the flow, modulo the
 * number of targets. Random numbers replace the hashes.
 */
Outcome
runNaive(const LoadProfile& aProfile, const std::vector<Request>& aRequests)
{
  std::mt19937_64 random(7);
  return runModel(aProfile, aRequests, [&random](const auto&) {
    return random() % kTargetCount;
  });
}

Simulation::SimulationSettings
simulationSettings(const LoadProfile& aProfile, unsigned aSeed)
{
  Simulation::SimulationSettings settings;
  for (std::size_t i = 1; i <= kTargetCount; ++i) {
    settings.fleet.targets.push_back(absl::StrCat("t", i));
  }
  settings.fleet.slots = aProfile.slots;
  settings.fleet.waitLimit = aProfile.waitLimit;
  settings.seed = aSeed;
  settings.linkDelay = kLinkDelay;
  return settings;
}

/** Runs the production code in the simulation. */
Outcome
runSystem(const LoadProfile& aProfile,
          const std::vector<Request>& aRequests,
          unsigned aSeed)
{
  Simulation::FleetSimulation simulation(simulationSettings(aProfile, aSeed));
  for (std::size_t i = 1; i <= kTargetCount; ++i) {
    const auto slowdown = i == 1 ? aProfile.firstTargetSlowdown : 1;
    simulation.setWorkTimeFunction(
      absl::StrCat("t", i), [&, slowdown](const std::string& aId) {
        std::size_t index = 0;
        static_cast<void>(absl::SimpleAtoi(aId.substr(1), &index));
        return std::chrono::milliseconds(aRequests[index].workMilliseconds *
                                         slowdown);
      });
  }
  simulation.advance(std::chrono::milliseconds(2'500));
  Outcome outcome;
  double sum = 0;
  int samples = 0;
  std::size_t nextRequest = 0;
  std::size_t refused = 0;
  const auto duration =
    std::chrono::duration_cast<std::chrono::milliseconds>(aProfile.duration)
      .count();
  std::vector<std::uint32_t> inUse(kTargetCount, 0);
  /** Time for which each target has had a free slot without interruption. */
  std::vector<int> freeMilliseconds(kTargetCount, 0);
  for (std::int64_t now = 0; now < duration; ++now) {
    for (; nextRequest < aRequests.size() &&
           aRequests[nextRequest].arrivalMilliseconds <= now;
         ++nextRequest) {
      simulation.openFlow(absl::StrCat("r", nextRequest), Simulation::kUdpPort);
    }
    simulation.advance(std::chrono::milliseconds(1));
    for (std::size_t i = 0; i < kTargetCount; ++i) {
      inUse[i] = simulation.load(absl::StrCat("t", i + 1)).slotsInUse;
      freeMilliseconds[i] =
        inUse[i] < aProfile.slots ? freeMilliseconds[i] + 1 : 0;
    }
    addSample(inUse, sum, samples);
    const auto refusals = simulation.flowsRefusedInLastStep().size();
    const auto maxFreeMilliseconds =
      *std::max_element(freeMilliseconds.begin(), freeMilliseconds.end());
    refused += refusals;
    outcome.refusedWithFreeSlot += maxFreeMilliseconds > 1 ? refusals : 0;
    outcome.refusedWithReportedFreeSlot +=
      maxFreeMilliseconds > kReportDelayMilliseconds ? refusals : 0;
  }
  outcome.maxToMean = sum / samples;
  outcome.refusedShare = static_cast<double>(refused) / aRequests.size();
  outcome.completedPerSecond =
    static_cast<double>(simulation.runs().size()) / aProfile.duration.count();
  return outcome;
}

void
addSpreadRecords(const std::string& aName,
                 const LoadProfile& aProfile,
                 double aTolerance,
                 unsigned aSeed,
                 Records& aRecords)
{
  const auto requests = makeRequests(aProfile, aSeed);
  const auto ideal = runIdeal(aProfile, requests);
  const auto naive = runNaive(aProfile, requests);
  const auto system = runSystem(aProfile, requests, aSeed);
  aRecords.push_back({ aName + ": max/mean over the ideal's",
                       system.maxToMean / ideal.maxToMean,
                       "",
                       aTolerance,
                       false,
                       naive.maxToMean / ideal.maxToMean,
                       "naive" });
  aRecords.push_back({ aName + ": max/mean in progress",
                       system.maxToMean,
                       "",
                       std::nullopt,
                       false,
                       ideal.maxToMean,
                       "ideal" });
  aRecords.push_back(
    { aName + ": refused with a free slot",
      static_cast<double>(system.refusedWithFreeSlot),
      "requests",
      aProfile.waitLimit.count() > 0 ? std::optional<double>(0) : std::nullopt,
      false,
      static_cast<double>(naive.refusedWithFreeSlot),
      "naive" });
  aRecords.push_back({ aName + ": refused with a slot free for over 12 ms",
                       static_cast<double>(system.refusedWithReportedFreeSlot),
                       "requests",
                       0 });
  aRecords.push_back({ aName + ": refused",
                       system.refusedShare * 100,
                       "%",
                       std::nullopt,
                       false,
                       ideal.refusedShare * 100,
                       "ideal" });
}

void
addOverloadRecords(unsigned aSeed, Records& aRecords)
{
  LoadProfile overload;
  overload.offeredShare = 1.2;
  overload.duration = std::chrono::seconds(100);
  LoadProfile peakLoad = overload;
  peakLoad.offeredShare = 10;
  const auto atOverload =
    runSystem(overload, makeRequests(overload, aSeed), aSeed);
  const auto atPeakLoad =
    runSystem(peakLoad, makeRequests(peakLoad, aSeed), aSeed);
  aRecords.push_back(
    { "completed at 10x offered load over that at 1.2x",
      atPeakLoad.completedPerSecond / atOverload.completedPerSecond,
      "",
      0.95,
      true,
      atOverload.completedPerSecond,
      "at 1.2x, per second" });
}

} // namespace

Records
runSpread(unsigned aSeed)
{
  Records records;
  LoadProfile profile;
  addSpreadRecords("7 targets x 7 slots, 80%", profile, 1.05, aSeed, records);
  profile.firstTargetSlowdown = 3;
  // A slot of the slow target has a third of the capacity of another slot.
  profile.offeredShare = 0.8 * (6 + 1.0 / 3) / 7;
  addSpreadRecords(
    "7 x 7, one at a third of the speed", profile, 1.10, aSeed, records);
  profile = {};
  profile.waitLimit = {};
  addSpreadRecords("7 x 7, refusing at once", profile, 1.05, aSeed, records);
  profile = {};
  profile.slots = 4;
  addSpreadRecords("7 targets x 4 slots, 80%", profile, 1.05, aSeed, records);
  profile.firstTargetSlowdown = 3;
  profile.offeredShare = 0.8 * (6 + 1.0 / 3) / 7;
  addSpreadRecords(
    "7 x 4, one at a third of the speed", profile, 1.10, aSeed, records);
  profile = {};
  profile.slots = 4;
  profile.waitLimit = {};
  addSpreadRecords("7 x 4, refusing at once", profile, 1.05, aSeed, records);
  addOverloadRecords(aSeed, records);
  return records;
}

} // namespace Bench
