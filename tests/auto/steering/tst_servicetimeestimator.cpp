#include "steering/servicetimeestimator.h"

#include <doctest/doctest.h>

#include <chrono>

namespace {

using namespace std::chrono_literals;
using Steering::ServiceTimeEstimator;

constexpr auto kFast = 20ms;

/** Records answers of which each thirtieth takes 7 times as long. */
void
recordWithTail(ServiceTimeEstimator& aEstimator, Core::Duration aTime)
{
  for (int i = 1; i <= 300; ++i) {
    aEstimator.record(0, i % 30 == 0 ? aTime * 7 : aTime);
  }
}

} // namespace

// Guards against a server that appears slow because of one request in thirty.
TEST_CASE("slow requests change the service time by less than their share")
{
  ServiceTimeEstimator estimator;
  recordWithTail(estimator, kFast);
  const auto mean = estimator.mean();
  CHECK(mean >= 20ms);
  CHECK(mean <= 24ms);
  estimator.record(0, 10s);
  CHECK(estimator.mean() <= mean * 1.07);
}

// Guards against a first answer that determines the estimate for seconds.
TEST_CASE("a slow first answer is outweighed by the next ones")
{
  ServiceTimeEstimator estimator;
  CHECK(estimator.mean() == 50ms);
  CHECK(estimator.reportedMean() == 0ms);
  estimator.record(0, kFast * 7);
  for (int i = 0; i < 8; ++i) {
    estimator.record(0, kFast);
  }
  CHECK(estimator.reportedMean() >= 20ms);
  CHECK(estimator.reportedMean() <= 26ms);
}

// Guards against a lucky run of short requests that makes a server look fast.
TEST_CASE("a run of requests of one class does not change the service time")
{
  ServiceTimeEstimator estimator;
  for (int i = 0; i < 512; ++i) {
    estimator.record(i % 2, i % 2 == 0 ? 10ms : 70ms);
  }
  for (int i = 0; i < 32; ++i) {
    estimator.record(0, 10ms);
  }
  CHECK(estimator.mean() >= 35ms);
  CHECK(estimator.mean() <= 41ms);
}

TEST_CASE("the service time follows a server that becomes warm, or restarts")
{
  ServiceTimeEstimator estimator;
  recordWithTail(estimator, kFast * 16 / 10);
  for (int i = 0; i < 64; ++i) {
    estimator.record(0, kFast);
  }
  CHECK(estimator.mean() <= 23ms);
  estimator.reset();
  CHECK_FALSE(estimator.isKnown());
  CHECK(estimator.reportedMean() == 0ms);
}

// Guards against 0 ms in reports, which means that the time is not known.
TEST_CASE("a service time below the resolution of reports is not unknown")
{
  ServiceTimeEstimator estimator;
  for (int i = 0; i < 8; ++i) {
    estimator.record(0, 100us);
  }
  CHECK(estimator.reportedMean() == 1ms);
}
