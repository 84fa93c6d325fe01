#include "mapdistribution.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace {

using namespace std::chrono_literals;
using MembershipTesting::MapDistribution;

/** Half of the time in which a change has to be in force on a large fleet. */
constexpr std::chrono::milliseconds kLimit{ 3'000 };

/** Time until all running processes have the last change; kLimit at most. */
std::chrono::milliseconds
distributionTime(MapDistribution& aFleet)
{
  aFleet.change();
  for (auto elapsed = 0ms; elapsed < kLimit; elapsed += 10ms) {
    if (aFleet.outdated().empty()) {
      return elapsed;
    }
    aFleet.advance(10ms);
  }
  return kLimit;
}

std::vector<std::size_t>
readersInZone(const MapDistribution& aFleet, std::size_t aZone)
{
  std::vector<std::size_t> readers;
  for (const auto process : aFleet.storeCallers()) {
    if (aFleet.zoneOf(process) == aZone) {
      readers.push_back(process);
    }
  }
  return readers;
}

/**
 * Terminates every process, one after the other, and starts each again when it
 * has ended.
 */
class TerminationSeries
{
public:
  TerminationSeries(std::chrono::milliseconds aFirst,
                    std::chrono::milliseconds aGap,
                    std::chrono::milliseconds aRunTime)
    : mFirst(aFirst)
    , mGap(aGap)
    , mRunTime(aRunTime)
  {
  }

  void apply(MapDistribution& aFleet, std::chrono::milliseconds aElapsed) const
  {
    for (std::size_t i = 0; i < aFleet.processCount(); ++i) {
      const auto at = mFirst + mGap * i;
      if (aElapsed == at && aFleet.isRunning(i)) {
        aFleet.terminate(i, mRunTime);
      }
      if (aElapsed == at + mRunTime + 500ms && !aFleet.isRunning(i)) {
        aFleet.start(i);
      }
    }
  }

private:
  std::chrono::milliseconds mFirst;
  std::chrono::milliseconds mGap;
  std::chrono::milliseconds mRunTime;
};

/** The greatest lag of a process while changes follow each other. */
std::chrono::milliseconds
greatestLag(MapDistribution& aFleet,
            const std::vector<TerminationSeries>& aSeries,
            unsigned aSeed)
{
  constexpr std::chrono::milliseconds kDuration{ 20'000 };
  std::mt19937 random(aSeed);
  auto greatest = 0ms;
  auto nextChange = 0ms;
  for (auto elapsed = 0ms; elapsed < kDuration; elapsed += 10ms) {
    for (const auto& series : aSeries) {
      series.apply(aFleet, elapsed);
    }
    if (elapsed >= nextChange) {
      aFleet.change();
      nextChange = elapsed + 300ms + 10ms * (random() % 30);
    }
    aFleet.advance(10ms);
    for (std::size_t i = 0; i < aFleet.processCount(); ++i) {
      greatest = std::max(greatest, aFleet.lag(i));
    }
  }
  return greatest;
}

} // namespace

TEST_CASE("a few processes of each zone read the store for the whole fleet")
{
  std::vector<double> messagesPerProcess;
  for (const std::size_t count : { 30U, 300U }) {
    CAPTURE(count);
    MapDistribution fleet({ count, 5 });
    fleet.advance(30s);
    CHECK(fleet.storeCallers().size() == 5);
    const auto callsBefore = fleet.storeCallCount();
    const auto datagramsBefore = fleet.datagramCount();
    const auto bytesBefore = fleet.datagramBytes();
    for (int i = 0; i < 20; ++i) {
      CHECK(distributionTime(fleet) < kLimit / 2);
      fleet.advance(1s);
    }
    CHECK(fleet.storeCallCount() - callsBefore <= 5 * 20 + 10);
    const auto seconds = 20.0;
    messagesPerProcess.push_back(
      static_cast<double>(fleet.datagramCount() - datagramsBefore) / seconds /
      static_cast<double>(count));
    // 11 KB/s are allowed for control.
    CHECK(static_cast<double>(fleet.datagramBytes() - bytesBefore) / seconds /
            static_cast<double>(count) <
          11'000);
  }
  MESSAGE("datagrams per process and second: ",
          messagesPerProcess[0],
          " of 30, ",
          messagesPerProcess[1],
          " of 300");
  CHECK(messagesPerProcess[1] < 1.5 * messagesPerProcess[0]);
}

TEST_CASE("a change is in use in time while the readers of a zone fail")
{
  for (const std::size_t count : { 6U, 59U, 300U }) {
    const unsigned seedCount = count == 300 ? 1 : 5;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
      CAPTURE(count);
      CAPTURE(seed);
      MapDistribution fleet({ count, count == 6 ? 3U : 5U, 0.01, seed });
      fleet.advance(10s);
      const auto readers = readersInZone(fleet, seed % 3);
      REQUIRE_FALSE(readers.empty());
      SUBCASE("killed")
      {
        for (const auto reader : readers) {
          fleet.kill(reader);
        }
      }
      SUBCASE("suspended")
      {
        for (const auto reader : readers) {
          fleet.suspend(reader);
        }
      }
      SUBCASE("cut off from the store")
      {
        for (const auto reader : readers) {
          fleet.cutFromStore(reader, true);
        }
      }
      SUBCASE("cut off from the others")
      {
        for (const auto reader : readers) {
          fleet.cutFromPeers(reader, true);
        }
      }
      CHECK(distributionTime(fleet) < kLimit / 2);
      fleet.advance(5s);
      CHECK(distributionTime(fleet) < 500ms);
    }
  }
}

TEST_CASE("processes that woke or came back are up to date within a second")
{
  MapDistribution fleet({ 59, 5 });
  fleet.advance(10s);
  const auto readers = fleet.storeCallers();
  for (const auto reader : readers) {
    fleet.suspend(reader);
  }
  CHECK(distributionTime(fleet) < kLimit);
  fleet.advance(4s);
  fleet.change();
  for (const auto reader : readers) {
    fleet.resume(reader);
  }
  fleet.advance(1s);
  CHECK(fleet.outdated().empty());
  fleet.advance(30s);
  CHECK(fleet.storeCallers().size() == 5);
}

TEST_CASE("when every reader is cut off from the store others take over")
{
  MapDistribution fleet({ 59, 5 });
  fleet.advance(10s);
  const auto readers = fleet.storeCallers();
  for (const auto reader : readers) {
    fleet.cutFromStore(reader, true);
  }
  // The keep-alive time of their connections passes first.
  fleet.advance(6s);
  CHECK(distributionTime(fleet) < 500ms);
  const auto callsBefore = fleet.storeCallCount();
  fleet.advance(10s);
  CHECK(fleet.storeCallCount() - callsBefore < 100);
}

TEST_CASE("changes are in force in time after the store was silent for a while")
{
  for (const std::size_t count : { 1U, 10U, 59U }) {
    for (const auto silence : { 500ms, 3'000ms, 6'000ms }) {
      CAPTURE(count);
      CAPTURE(silence.count());
      MapDistribution fleet({ count, count == 1 ? 1U : 3U });
      fleet.advance(10s);
      fleet.setStoreSilent(true);
      fleet.advance(silence);
      fleet.setStoreSilent(false);
      // A store that has been well for this time counts as stable.
      fleet.advance(4s);
      CHECK(distributionTime(fleet) < kLimit / 2);
      fleet.advance(30s);
      CHECK(fleet.storeCallers().size() <= 3);
    }
  }
}

TEST_CASE("a process without peers follows the store by itself")
{
  MapDistribution fleet({ 1, 1 });
  fleet.advance(5s);
  CHECK(distributionTime(fleet) < 100ms);
}

TEST_CASE("a fleet that restarts one after the other misses no change")
{
  MapDistribution fleet({ 59, 5 });
  fleet.advance(10s);
  for (std::size_t process = 0; process < fleet.processCount(); ++process) {
    fleet.kill(process);
    fleet.advance(300ms);
    fleet.start(process);
    CAPTURE(process);
    CHECK(distributionTime(fleet) < kLimit / 2);
  }
}

TEST_CASE("processes that run on after SIGTERM get changes in time while all "
          "others of their zone stop too")
{
  std::size_t callCount = 0;
  std::size_t runCount = 0;
  auto greatest = 0ms;
  for (const auto gap : { 100ms, 260ms, 660ms }) {
    for (const auto second : { 0ms, 1'000ms, 3'000ms, 6'000ms }) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        CAPTURE(gap.count());
        CAPTURE(second.count());
        CAPTURE(seed);
        constexpr auto kRunTime = 4'800ms;
        MapDistribution fleet({ 16, 4, 0.01, seed });
        fleet.advance(10s);
        const auto callsBefore = fleet.storeCallCount();
        const TerminationSeries firstSeries(0ms, gap, kRunTime);
        const TerminationSeries secondSeries(second, 260ms, kRunTime);
        const auto lag =
          greatestLag(fleet, { firstSeries, secondSeries }, seed);
        CHECK(lag < kLimit / 2);
        greatest = std::max(greatest, lag);
        ++runCount;
        callCount += fleet.storeCallCount() - callsBefore;
      }
    }
  }
  MESSAGE("greatest lag: ",
          greatest.count(),
          " ms; calls of the store in a run of 20 s: ",
          callCount / runCount);
}
