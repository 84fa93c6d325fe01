#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "balancing/homefailuredetector.h"
#include "balancing/ownercache.h"

using namespace Balancing;

namespace {

constexpr Core::TimePoint kStart{ std::chrono::hours(1) };

Core::TimePoint
after(std::chrono::milliseconds aDelay)
{
  return kStart + aDelay;
}

} // namespace

TEST_CASE("OwnerCache stays bounded under a flood of flows")
{
  OwnerCache cache(1'000, std::chrono::hours(1));
  for (std::uint64_t flow = 1; flow <= 100'000; ++flow) {
    cache.insert(flow, 1, kStart);
    CHECK(cache.size() <= 1'001);
  }
}

TEST_CASE(
  "OwnerCache keeps used entries and drops idle ones after two generations")
{
  OwnerCache cache(1'000, std::chrono::seconds(60));
  cache.insert(1, 11, kStart);
  cache.insert(2, 22, kStart);
  for (int minute = 1; minute <= 5; ++minute) {
    const auto now = kStart + std::chrono::minutes(minute);
    cache.insert(100 + minute, 1, now);
    CHECK(cache.find(1, now) == 11);
  }
  CHECK(cache.find(2, kStart + std::chrono::minutes(5)) == 0);
}

TEST_CASE(
  "a home is suspected after a reply timeout until the suspicion expires")
{
  using std::chrono::milliseconds;
  HomeFailureDetector detector;
  detector.recordRequest(7, kStart);
  CHECK_FALSE(detector.isSuspected(7, after(milliseconds(399))));
  CHECK(detector.isSuspected(7, after(milliseconds(400))));
  CHECK(detector.isSuspected(7, after(milliseconds(2'300))));
  CHECK_FALSE(detector.isSuspected(7, after(milliseconds(2'401))));
  CHECK_FALSE(detector.isSuspected(8, after(milliseconds(400))));
}

TEST_CASE("a home that replies in time is not suspected")
{
  using std::chrono::milliseconds;
  HomeFailureDetector detector;
  detector.recordRequest(7, kStart);
  detector.recordReply(7);
  CHECK_FALSE(detector.isSuspected(7, after(milliseconds(5'000))));
}
