#include "steering/outlierdetector.h"

#include <doctest/doctest.h>

#include <random>

namespace {

using namespace std::chrono_literals;
using Steering::OutlierDetector;

constexpr std::uint32_t kSlots = 4;

/** A detector of a backend server that has just been ejected. */
struct EjectedFixture
{
  EjectedFixture()
  {
    for (int i = 0; i < OutlierDetector::kFailureThreshold; ++i) {
      detector.recordFailure(now);
    }
    REQUIRE(detector.isEjected());
  }

  OutlierDetector detector;
  Core::TimePoint now{ 100s };
};

} // namespace

// Guards against a server that is taken out because of single failures.
TEST_CASE("failures with answers between them do not eject a server")
{
  OutlierDetector detector;
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(detector.recordFailure(Core::TimePoint(100s)));
    CHECK_FALSE(detector.recordFailure(Core::TimePoint(100s)));
    detector.recordAnswer(kSlots);
  }
  CHECK_FALSE(detector.isEjected());
  CHECK(detector.usableSlots(kSlots) == kSlots);
}

TEST_CASE("an ejected server gets one idempotent request in 250 ms")
{
  EjectedFixture f;
  int probes = 0;
  for (int i = 0; i < 1'000; ++i) {
    f.now += 1ms;
    CHECK_FALSE(f.detector.takeProbe(false, f.now));
    if (f.detector.takeProbe(true, f.now)) {
      ++probes;
      f.detector.recordFailure(f.now);
    }
  }
  CHECK(probes == 4);
  CHECK(f.detector.isEjected());
}

// Guards against a server that never returns because no caller may repeat its
// request.
TEST_CASE("other requests serve as probes if no idempotent ones come")
{
  EjectedFixture f;
  f.now += OutlierDetector::kIdempotentProbeTimeout - 1ms;
  CHECK_FALSE(f.detector.takeProbe(false, f.now));
  f.now += 1ms;
  CHECK(f.detector.takeProbe(false, f.now));
}

TEST_CASE("a server that answers again gets its slots back in steps")
{
  EjectedFixture f;
  for (const std::uint32_t slots : { 1U, 2U, kSlots }) {
    f.detector.recordAnswer(kSlots);
    CHECK_FALSE(f.detector.isEjected());
    CHECK(f.detector.usableSlots(kSlots) == slots);
  }
  SUBCASE("then a single failure is tolerated as before")
  {
    CHECK_FALSE(f.detector.recordFailure(f.now));
  }
}

TEST_CASE("a failure while the slots come back ejects the server again")
{
  EjectedFixture f;
  f.detector.recordAnswer(kSlots);
  CHECK(f.detector.recordFailure(f.now));
  CHECK(f.detector.isEjected());
}

TEST_CASE("a server is down after eight failures in succession")
{
  EjectedFixture f;
  for (int i = OutlierDetector::kFailureThreshold;
       i < OutlierDetector::kDownThreshold;
       ++i) {
    CHECK_FALSE(f.detector.isDown());
    f.detector.recordFailure(f.now);
  }
  CHECK(f.detector.isDown());
  f.detector.recordAnswer(kSlots);
  CHECK_FALSE(f.detector.isDown());
}

// The load: 40 requests of 60 ms per second and server, for 60 s, of which each
// fails with the same probability. Guards against an ejection that costs more
// than the failures.
TEST_CASE("a server with few failures is rarely ejected")
{
  std::mt19937_64 random(1);
  std::bernoulli_distribution fails(0.05);
  OutlierDetector detector;
  Core::TimePoint now{ 100s };
  int skipped = 0;
  for (int i = 0; i < 2'400; ++i) {
    now += 25ms;
    if (detector.isEjected() && !detector.takeProbe(true, now)) {
      ++skipped;
    } else if (fails(random)) {
      detector.recordFailure(now);
    } else {
      detector.recordAnswer(kSlots);
    }
  }
  // A thousandth: less than a tenth of what fails.
  CHECK(skipped <= 12);
}
