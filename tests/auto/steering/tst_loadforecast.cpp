#include "steering/loadforecast.h"
#include "steering/replyprogress.h"
#include "steering/targetselection.h"

#include <doctest/doctest.h>

#include <array>
#include <set>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::Candidate;
using Steering::Target;

constexpr std::size_t kTargets = 5;

struct Fixture
{
  Fixture()
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      targets[i].agent = { static_cast<std::uint32_t>(i + 1), 1 };
      targets[i].slots = 2;
    }
  }
  void report(std::size_t aTarget,
              std::uint16_t aInProgress,
              std::chrono::milliseconds aServiceTime)
  {
    Steering::ReportedLoad load;
    load.inProgress = aInProgress;
    load.serviceTime = aServiceTime;
    loads.recordReport(targets[aTarget].agent, load, now);
  }
  void reportAll(std::uint16_t aInProgress)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      report(i, aInProgress, 50ms);
    }
  }
  std::vector<Candidate> candidates()
  {
    std::vector<Candidate> all;
    for (const auto& target : targets) {
      all.push_back({ &target, &loads.find(target.agent), true });
    }
    return all;
  }
  double expectedRequests(std::size_t aTarget)
  {
    forecast.update(candidates(), now);
    return forecast.expectedLoad(candidates()[aTarget]).requests;
  }
  /** The targets that a thousand flows are sent to. */
  std::set<std::size_t> chosen()
  {
    const auto all = candidates();
    forecast.update(all, now);
    std::set<std::size_t> result;
    for (std::uint64_t i = 0; i < 1'000; ++i) {
      const auto* target =
        Steering::selectTarget(
          all, Steering::FlowType::OneRequest, Steering::mixBits(i), forecast)
          ->target;
      result.insert(static_cast<std::size_t>(target - targets.data()));
    }
    return result;
  }

  std::array<Target, kTargets> targets;
  Steering::ReplyProgress replies;
  Steering::AgentLoadTable loads{ replies };
  Steering::LoadForecast forecast;
  Core::TimePoint now{ 100s };
};

} // namespace

// Guards against a missing report that makes a server count as idle.
TEST_CASE("without new reports the load moves towards the mean of the service")
{
  Fixture f;
  f.reportAll(2);
  f.report(0, 0, 50ms);
  CHECK(f.expectedRequests(0) == doctest::Approx(0).epsilon(0.01));
  f.now += 3s;
  CHECK(f.expectedRequests(0) >= 1.4);
  CHECK(f.expectedRequests(1) <= 2.1);
}

// Guards against balancers that keep avoiding or preferring what was reported.
TEST_CASE("a reported difference counts for about one service time")
{
  Fixture f;
  f.reportAll(1);
  f.now += 1ms;
  f.report(0, 0, 50ms);
  CHECK(f.chosen() == std::set<std::size_t>{ 0 });
  f.now += 500ms;
  CHECK(f.chosen().size() == kTargets);
}

// Guards against a fleet that is believed to be full before it has reported.
TEST_CASE("a target without any report counts as having a free slot")
{
  Fixture f;
  f.report(0, 9, 50ms);
  CHECK(f.expectedRequests(1) == 1);
}

// Guards against servers that attract flows because they answer with errors.
TEST_CASE("a fast server attracts no more flows than the median")
{
  Fixture f;
  f.reportAll(1);
  f.report(0, 1, 1ms);
  f.report(1, 1, 0ms);
  CHECK(f.chosen().size() == kTargets);
  f.report(2, 1, 120ms);
  CHECK(f.chosen() == std::set<std::size_t>{ 0, 1, 3, 4 });
}

TEST_CASE("a cold target that reports its slowness is not slowed down twice")
{
  Fixture f;
  f.reportAll(1);
  f.report(0, 1, 80ms);
  auto cold = f.candidates()[0];
  cold.isSlowStartOver = false;
  f.forecast.update(f.candidates(), f.now);
  CHECK(f.forecast.serviceTime(cold) == 80ms);
}
