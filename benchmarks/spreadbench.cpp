#include "benches.h"

#include "world/world.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>

namespace Bench {

namespace {

constexpr std::size_t kTargets = 7;
constexpr double kMeanWorkSeconds = 1.0;
constexpr std::chrono::milliseconds kLinkDelay{ 5 };
/** A link's delay and the spacing of load reports, and a tick for each. */
constexpr int kNewsMilliseconds = 12;

struct Request
{
  std::int64_t atMilliseconds = 0;
  std::int64_t workMilliseconds = 0;
};

struct Load
{
  std::uint32_t slots = 7;
  /** Offered work as a share of all slots. */
  double share = 0.8;
  std::chrono::seconds duration{ 300 };
  /** How much longer the first target works. */
  int firstIsSlower = 1;
  /** As in the documents of both users. */
  std::chrono::milliseconds waitLimit{ 500 };
};

struct Outcome
{
  double maxToMean = 0;
  double refusedShare = 0;
  std::uint64_t refusedWithRoom = 0;
  /** The slot had been free for longer than news of it takes. */
  std::uint64_t refusedWithKnownRoom = 0;
  double completedPerSecond = 0;
};

/** Poisson arrivals and exponential work from one seed. */
std::vector<Request>
makeRequests(const Load& aLoad, unsigned aSeed)
{
  std::mt19937_64 random(aSeed);
  const double rate = aLoad.share * kTargets * aLoad.slots / kMeanWorkSeconds;
  std::exponential_distribution<double> gap(rate / 1000);
  std::exponential_distribution<double> work(1 / (kMeanWorkSeconds * 1000));
  const auto end =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.duration)
      .count();
  std::vector<Request> requests;
  auto at = gap(random);
  while (at < static_cast<double>(end)) {
    requests.push_back({ static_cast<std::int64_t>(at),
                         1 + static_cast<std::int64_t>(work(random)) });
    at += gap(random);
  }
  return requests;
}

/** Adds one sample of max/mean, when anything is in progress. */
void
sample(const std::vector<std::uint32_t>& aInUse, double& aSum, int& aCount)
{
  const auto total = std::accumulate(aInUse.begin(), aInUse.end(), 0U);
  if (total == 0) {
    return;
  }
  const auto most = *std::max_element(aInUse.begin(), aInUse.end());
  aSum += most * static_cast<double>(aInUse.size()) / total;
  ++aCount;
}

/**
 * A model without delays in which aChoose names a target for each request,
 * or kTargets for none.
 */
Outcome
runModel(
  const Load& aLoad,
  const std::vector<Request>& aRequests,
  const std::function<std::size_t(const std::vector<std::uint32_t>&)>& aChoose)
{
  std::vector<std::uint32_t> inUse(kTargets, 0);
  std::vector<std::pair<std::int64_t, std::size_t>> ends;
  Outcome outcome;
  double sum = 0;
  int samples = 0;
  std::size_t refused = 0;
  std::size_t next = 0;
  const auto duration =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.duration)
      .count();
  for (std::int64_t now = 0; now < duration; ++now) {
    while (!ends.empty() && ends.front().first <= now) {
      std::pop_heap(ends.begin(), ends.end(), std::greater<>());
      --inUse[ends.back().second];
      ends.pop_back();
      outcome.completedPerSecond += 1;
    }
    for (; next < aRequests.size() && aRequests[next].atMilliseconds <= now;
         ++next) {
      const auto target = aChoose(inUse);
      if (target >= kTargets || inUse[target] >= aLoad.slots) {
        ++refused;
        const bool hadRoom =
          std::any_of(inUse.begin(), inUse.end(), [&](std::uint32_t aInUse) {
            return aInUse < aLoad.slots;
          });
        outcome.refusedWithRoom += hadRoom ? 1 : 0;
        continue;
      }
      const auto slower = target == 0 ? aLoad.firstIsSlower : 1;
      ++inUse[target];
      ends.emplace_back(now + aRequests[next].workMilliseconds * slower,
                        target);
      std::push_heap(ends.begin(), ends.end(), std::greater<>());
    }
    sample(inUse, sum, samples);
  }
  outcome.maxToMean = sum / samples;
  outcome.refusedShare = static_cast<double>(refused) / aRequests.size();
  outcome.completedPerSecond /= static_cast<double>(aLoad.duration.count());
  return outcome;
}

std::size_t
leastLoaded(const std::vector<std::uint32_t>& aInUse)
{
  return std::min_element(aInUse.begin(), aInUse.end()) - aInUse.begin();
}

Outcome
runIdeal(const Load& aLoad, const std::vector<Request>& aRequests)
{
  return runModel(aLoad, aRequests, leastLoaded);
}

/** A hash of the flow, modulo the targets. */
Outcome
runNaive(const Load& aLoad, const std::vector<Request>& aRequests)
{
  std::mt19937_64 random(7);
  return runModel(
    aLoad, aRequests, [&random](const auto&) { return random() % kTargets; });
}

World::WorldSettings
settingsOf(const Load& aLoad, unsigned aSeed)
{
  World::WorldSettings settings;
  for (std::size_t i = 1; i <= kTargets; ++i) {
    settings.shape.targets.push_back(absl::StrCat("t", i));
  }
  settings.shape.slots = aLoad.slots;
  settings.shape.waitLimit = aLoad.waitLimit;
  settings.seed = aSeed;
  settings.linkDelay = kLinkDelay;
  return settings;
}

/** The real decisions on the same requests. */
Outcome
runSystem(const Load& aLoad,
          const std::vector<Request>& aRequests,
          unsigned aSeed)
{
  World::World world(settingsOf(aLoad, aSeed));
  for (std::size_t i = 1; i <= kTargets; ++i) {
    const auto slower = i == 1 ? aLoad.firstIsSlower : 1;
    world.setWorkOf(absl::StrCat("t", i), [&, slower](const std::string& aId) {
      std::size_t index = 0;
      static_cast<void>(absl::SimpleAtoi(aId.substr(1), &index));
      return std::chrono::milliseconds(aRequests[index].workMilliseconds *
                                       slower);
    });
  }
  world.advance(std::chrono::milliseconds(2'500));
  Outcome outcome;
  double sum = 0;
  int samples = 0;
  std::size_t next = 0;
  std::size_t refused = 0;
  const auto duration =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLoad.duration)
      .count();
  std::vector<std::uint32_t> inUse(kTargets, 0);
  /** For how many milliseconds each target has had a free slot. */
  std::vector<int> freeFor(kTargets, 0);
  for (std::int64_t now = 0; now < duration; ++now) {
    for (; next < aRequests.size() && aRequests[next].atMilliseconds <= now;
         ++next) {
      world.openFlow(absl::StrCat("r", next), World::kUdpPort);
    }
    world.advance(std::chrono::milliseconds(1));
    for (std::size_t i = 0; i < kTargets; ++i) {
      inUse[i] = world.load(absl::StrCat("t", i + 1)).slotsInUse;
      freeFor[i] = inUse[i] < aLoad.slots ? freeFor[i] + 1 : 0;
    }
    sample(inUse, sum, samples);
    const auto refusals = world.refusedInLastStep().size();
    const auto longestFree = *std::max_element(freeFor.begin(), freeFor.end());
    refused += refusals;
    outcome.refusedWithRoom += longestFree > 1 ? refusals : 0;
    outcome.refusedWithKnownRoom +=
      longestFree > kNewsMilliseconds ? refusals : 0;
  }
  outcome.maxToMean = sum / samples;
  outcome.refusedShare = static_cast<double>(refused) / aRequests.size();
  outcome.completedPerSecond =
    static_cast<double>(world.runs().size()) / aLoad.duration.count();
  return outcome;
}

void
addSpread(const std::string& aName,
          const Load& aLoad,
          double aTolerance,
          unsigned aSeed,
          Records& aRecords)
{
  const auto requests = makeRequests(aLoad, aSeed);
  const auto ideal = runIdeal(aLoad, requests);
  const auto naive = runNaive(aLoad, requests);
  const auto system = runSystem(aLoad, requests, aSeed);
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
      static_cast<double>(system.refusedWithRoom),
      "requests",
      aLoad.waitLimit.count() > 0 ? std::optional<double>(0) : std::nullopt,
      false,
      static_cast<double>(naive.refusedWithRoom),
      "naive" });
  aRecords.push_back({ aName + ": refused with a slot free for over 12 ms",
                       static_cast<double>(system.refusedWithKnownRoom),
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
addMonthEnd(unsigned aSeed, Records& aRecords)
{
  Load busy;
  busy.share = 1.2;
  busy.duration = std::chrono::seconds(100);
  Load monthEnd = busy;
  monthEnd.share = 10;
  const auto at12 = runSystem(busy, makeRequests(busy, aSeed), aSeed);
  const auto at100 = runSystem(monthEnd, makeRequests(monthEnd, aSeed), aSeed);
  aRecords.push_back({ "completed at 10x offered load over that at 1.2x",
                       at100.completedPerSecond / at12.completedPerSecond,
                       "",
                       0.95,
                       true,
                       at12.completedPerSecond,
                       "at 1.2x, per second" });
}

} // namespace

Records
runSpread(unsigned aSeed)
{
  Records records;
  Load load;
  addSpread("7 targets x 7 slots, 80%", load, 1.05, aSeed, records);
  load.firstIsSlower = 3;
  // The slow target's slots count a third of the others'.
  load.share = 0.8 * (6 + 1.0 / 3) / 7;
  addSpread("7 x 7, one at a third of the speed", load, 1.10, aSeed, records);
  load = {};
  load.waitLimit = {};
  addSpread("7 x 7, refusing at once", load, 1.05, aSeed, records);
  load = {};
  load.slots = 4;
  addSpread("7 targets x 4 slots, 80%", load, 1.05, aSeed, records);
  load.firstIsSlower = 3;
  load.share = 0.8 * (6 + 1.0 / 3) / 7;
  addSpread("7 x 4, one at a third of the speed", load, 1.10, aSeed, records);
  load = {};
  load.slots = 4;
  load.waitLimit = {};
  addSpread("7 x 4, refusing at once", load, 1.05, aSeed, records);
  addMonthEnd(aSeed, records);
  return records;
}

} // namespace Bench
