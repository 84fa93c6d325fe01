#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "flowsimulation/flowsimulation.h"

#include <algorithm>
#include <map>

namespace {

using namespace std::chrono_literals;
using FlowTesting::FlowSimulation;
using FlowTesting::FlowState;

std::size_t
countFlows(const FlowSimulation& aSimulation, FlowState aState)
{
  return static_cast<std::size_t>(std::count_if(
    aSimulation.callers().begin(),
    aSimulation.callers().end(),
    [aState](const auto& aCaller) { return aCaller->state() == aState; }));
}

/** Number of answers with a latency of at most aMaxLatency. */
std::size_t
answersWithin(const FlowSimulation& aSimulation, Core::Duration aMaxLatency)
{
  std::size_t count = 0;
  for (const auto& caller : aSimulation.callers()) {
    for (const auto latency : caller->latencies()) {
      count += latency <= aMaxLatency ? 1 : 0;
    }
  }
  return count;
}

void
checkNoViolations(const FlowSimulation& aSimulation)
{
  for (const auto& line : aSimulation.violations()) {
    FAIL_CHECK(line);
  }
}

/** Opens aFlowsPerSecond flows per second for aDuration. */
void
openFlowsEvenly(FlowSimulation& aSimulation,
                int aFlowsPerSecond,
                Core::Duration aDuration)
{
  const auto end = aSimulation.now() + aDuration;
  const auto interval = std::chrono::microseconds(1'000'000 / aFlowsPerSecond);
  std::size_t zone = 0;
  auto nextFlowAt = aSimulation.now();
  while (aSimulation.now() < end) {
    while (nextFlowAt <= aSimulation.now()) {
      aSimulation.openFlow("red", zone++ % FlowSimulation::kZoneCount);
      nextFlowAt += interval;
    }
    aSimulation.advance(1ms);
  }
}

} // namespace

TEST_CASE("all requests are answered within 100 ms when nothing fails")
{
  FlowSimulation simulation({});
  openFlowsEvenly(simulation, 100, 2s);
  simulation.advance(1s);
  CHECK(countFlows(simulation, FlowState::Closed) == 200);
  CHECK(answersWithin(simulation, 100ms) == 200);
  checkNoViolations(simulation);
}

TEST_CASE("a long-lived flow survives the restart of every balancer")
{
  FlowSimulation simulation({});
  auto& caller = simulation.openFlow("red", 0, 10, 400ms);
  simulation.advance(300ms);
  for (const auto& name : simulation.balancerNames()) {
    simulation.killBalancer(name);
    simulation.advance(100ms);
    simulation.startBalancer(name);
    simulation.advance(500ms);
  }
  simulation.advance(6s);
  CHECK(caller.state() == FlowState::Closed);
  CHECK(caller.answerCount() == 10);
  checkNoViolations(simulation);
}

TEST_CASE("a long-lived flow survives the restart of its agent")
{
  FlowSimulation simulation({});
  auto& caller = simulation.openFlow("red", 0, 6, 400ms);
  simulation.advance(300ms);
  for (const auto& name : simulation.targetNames()) {
    simulation.killAgent(name);
    simulation.advance(50ms);
    simulation.startAgent(name);
  }
  simulation.advance(8s);
  CHECK(caller.state() == FlowState::Closed);
  checkNoViolations(simulation);
}

TEST_CASE("a draining target keeps its flow and gets no new ones")
{
  FlowSimulation simulation({});
  auto& caller = simulation.openFlow("red", 0, 5, 300ms);
  simulation.advance(200ms);
  REQUIRE_FALSE(simulation.runs().empty());
  const auto owner = simulation.runs().front().target;
  simulation.drainTarget(owner);
  const auto runCountBefore = simulation.runs().size();
  openFlowsEvenly(simulation, 50, 1s);
  simulation.advance(2s);
  CHECK(caller.state() == FlowState::Closed);
  const auto ownerRunCount = std::count_if(
    simulation.runs().begin() + static_cast<std::ptrdiff_t>(runCountBefore),
    simulation.runs().end(),
    [&](const auto& aRun) { return aRun.target == owner; });
  // The four requests that the flow had left.
  CHECK(ownerRunCount == 4);
  checkNoViolations(simulation);
}

TEST_CASE("requests are answered within 300 ms despite an unresponsive target")
{
  FlowSimulation simulation({});
  simulation.suspend("t1");
  for (int i = 0; i < 40; ++i) {
    simulation.openFlow("red", 0);
  }
  simulation.advance(2s);
  CHECK(countFlows(simulation, FlowState::Closed) == 40);
  // A balancer waits 100 ms for the reply of the unresponsive agent, half of
  // the time until the caller retransmits its SYN.
  CHECK(answersWithin(simulation, 300ms) == 40);
  // The agent of t1 is suspected by now, so new flows avoid it.
  const auto callerCountBefore = simulation.callers().size();
  for (int i = 0; i < 20; ++i) {
    simulation.openFlow("red", 0);
  }
  simulation.advance(1s);
  for (std::size_t i = callerCountBefore; i < simulation.callers().size();
       ++i) {
    REQUIRE(simulation.callers()[i]->latencies().size() == 1);
    CHECK(simulation.callers()[i]->latencies()[0] < 150ms);
  }
  checkNoViolations(simulation);
}

TEST_CASE("flows of a crashed target are reset within a second")
{
  FlowSimulation simulation({});
  auto& caller = simulation.openFlow("red", 0, 3, 300ms);
  simulation.advance(200ms);
  const auto owner = simulation.runs().front().target;
  simulation.reuseAddress(owner, "blue");
  simulation.advance(1s);
  CHECK(caller.state() == FlowState::Broken);
  checkNoViolations(simulation);
}

TEST_CASE("a reused address gets no flows of its previous service")
{
  FlowSimulation simulation({});
  for (int i = 0; i < 20; ++i) {
    simulation.openFlow("red", 0, 8, 200ms);
  }
  simulation.advance(300ms);
  for (const auto& name : simulation.balancerNames()) {
    simulation.pauseMapUpdates(name);
  }
  simulation.reuseAddress("t1", "blue");
  for (int i = 0; i < 20; ++i) {
    simulation.openFlow("red", 0);
  }
  simulation.advance(5s);
  checkNoViolations(simulation);
}

TEST_CASE("a balancer with an old map does not reset flows of a new target")
{
  FlowTesting::FlowSimulationSettings settings;
  settings.targetsPerService = 1;
  FlowSimulation simulation(settings);
  simulation.pauseMapUpdates("b1");
  const auto added = simulation.addTarget("red");
  simulation.killTarget("t1");
  for (int i = 0; i < 10; ++i) {
    simulation.openFlow("red", 0, 6, 300ms);
  }
  simulation.advance(200ms);
  // All flows of zone 0 now go through b1, whose map lacks the new target.
  simulation.killBalancer("b3");
  simulation.advance(2s);
  checkNoViolations(simulation);
  simulation.resumeMapUpdates("b1");
  simulation.advance(6s);
  CHECK(countFlows(simulation, FlowState::Broken) == 0);
  CHECK(simulation.isRunning(added));
  checkNoViolations(simulation);
}

TEST_CASE("most answers are on time while the load exceeds the capacity")
{
  // 4 targets with 4 slots answer 533 requests of 30 ms per second; the load is
  // 800 per second.
  FlowSimulation simulation({});
  openFlowsEvenly(simulation, 800, 3s);
  simulation.advance(4s);
  const auto onTimeCount = answersWithin(simulation, 300ms);
  MESSAGE("answered on time: " << onTimeCount << " of 2400; answered in total: "
                               << answersWithin(simulation, 10s));
  // The targets have capacity for about 1,600 answers in these 3 s. A queue in
  // order of arrival answers only about 700 requests on time.
  CHECK(onTimeCount > 1'200);
  for (const auto& name : simulation.targetNames()) {
    CHECK(simulation.target(name)->peakJobCount() <= 5);
  }
  checkNoViolations(simulation);
}

TEST_CASE(
  "flows opened without a map are answered within 100 ms of its arrival")
{
  FlowSimulation simulation({});
  for (const auto& name : simulation.balancerNames()) {
    simulation.killBalancer(name);
    simulation.startBalancer(name, false);
  }
  for (int i = 0; i < 12; ++i) {
    simulation.openFlow("red", i % 2);
  }
  simulation.advance(450ms);
  CHECK(simulation.runs().empty());
  for (const auto& name : simulation.balancerNames()) {
    simulation.resumeMapUpdates(name);
  }
  simulation.advance(100ms);
  CHECK(countFlows(simulation, FlowState::Closed) == 12);
  checkNoViolations(simulation);
}

// Guards against cold servers that get more than they can serve, and against
// callers that wait for one while a warm server is free.
TEST_CASE("cold targets get at most their limit and spare warm ones no slot")
{
  FlowTesting::FlowSimulationSettings settings;
  settings.coldRequestsPerSecond = 20;
  settings.warmupTime = 5s;
  SUBCASE("the warm targets' share falls smoothly as the others return")
  {
    settings.targetsPerService = 8;
    settings.routeType = "upload";
    FlowSimulation simulation(settings);
    simulation.advance(2s);
    for (const auto* name : { "t1", "t3", "t9", "t11" }) {
      simulation.restartTarget(name);
      simulation.advance(500ms);
    }
    const auto warmCount = [&] {
      std::size_t count = 0;
      for (const auto* name : { "t5", "t7", "t13", "t15" }) {
        count += simulation.target(name)->requestCount();
      }
      return count;
    };
    double lastShare = 1;
    for (int window = 0; window < 16; ++window) {
      const auto before = warmCount();
      openFlowsEvenly(simulation, 400, 500ms);
      const auto share = static_cast<double>(warmCount() - before) / 200;
      // At most two targets become warm in a window, so the four that were warm
      // keep four shares of six.
      CHECK(share >= lastShare - (1 - 4.0 / 6));
      lastShare = share;
    }
    // 98% of 3,200 requests, which take 30 ms, or 48 ms at cold targets.
    CHECK(answersWithin(simulation, 100ms) >= 3'136);
    const auto before = warmCount();
    openFlowsEvenly(simulation, 400, 4s);
    // Equal shares are 0.5.
    CHECK(static_cast<double>(warmCount() - before) / 1'600 <= 0.6);
    checkNoViolations(simulation);
  }
  SUBCASE("while agents and balancers restart at twice the load")
  {
    FlowSimulation simulation(settings);
    simulation.advance(2s);
    for (const auto& name : simulation.targetNames()) {
      simulation.setProcessingTime(name, 60ms);
    }
    simulation.openFlow("red", 0, 100, 10ms);
    for (int i = 0; i < 4; ++i) {
      simulation.restartTarget(i % 2 == 0 ? "t1" : "t5");
      openFlowsEvenly(simulation, 270, 700ms);
      simulation.killAgent("t1");
      simulation.startAgent("t1");
      openFlowsEvenly(simulation, 270, 300ms);
      simulation.startBalancer("b1");
      openFlowsEvenly(simulation, 270, 500ms);
    }
    checkNoViolations(simulation);
  }
  SUBCASE("when the whole fleet is cold")
  {
    settings.isFleetCold = true;
    FlowSimulation simulation(settings);
    openFlowsEvenly(simulation, 160, 4s);
    std::size_t count = 0;
    for (const auto& name : simulation.targetNames()) {
      count += simulation.target(name)->requestCount();
    }
    // The agents have just started and take nothing in the first second.
    CHECK(count >= 4 * 20 * 3 * 9 / 10);
    checkNoViolations(simulation);
  }
}

TEST_CASE("requests are spread evenly over the targets of a service")
{
  FlowSimulation simulation({});
  openFlowsEvenly(simulation, 150, 4s);
  simulation.advance(1s);
  std::map<std::string, int> counts;
  for (const auto& run : simulation.runs()) {
    ++counts[run.target];
  }
  const auto busiest = std::max_element(
    counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  CHECK(counts.size() == 4);
  CHECK(busiest->second <= 1.10 * 600 / 4);
  checkNoViolations(simulation);
}

// Guards against a backend server that attracts the load because requests that
// it resets free its slots at once. The load: 400 requests of 30 ms per second
// for 32 slots.
TEST_CASE("a backend server that resets requests gets few of them")
{
  FlowTesting::FlowSimulationSettings settings;
  settings.targetsPerService = 8;
  FlowSimulation simulation(settings);
  openFlowsEvenly(simulation, 400, 2s);
  const auto failAll = [&](const std::vector<std::string>& aTargets) {
    const auto before = countFlows(simulation, FlowState::Broken);
    for (const auto& name : aTargets) {
      simulation.setResetting(name, true);
    }
    openFlowsEvenly(simulation, 400, 3s);
    for (const auto& name : aTargets) {
      simulation.setResetting(name, false);
    }
    return countFlows(simulation, FlowState::Broken) - before;
  };
  SUBCASE("one of eight servers")
  {
    // As many as it has slots, and one in 250 ms.
    CHECK(failAll({ "t1" }) <= settings.slots + 12);
    openFlowsEvenly(simulation, 400, 2s);
    const auto before = simulation.target("t1")->requestCount();
    openFlowsEvenly(simulation, 400, 2s);
    // It has its whole share of 100 again.
    CHECK(simulation.target("t1")->requestCount() - before >= 90);
    simulation.advance(1s);
    CHECK(answersWithin(simulation, 150ms) +
            countFlows(simulation, FlowState::Broken) ==
          simulation.callers().size());
  }
  SUBCASE("all servers")
  {
    // Each until it is down, and then one in 250 ms. The other callers hear
    // that their request was not run.
    CHECK(failAll({ "t1", "t3", "t5", "t7", "t9", "t11", "t13", "t15" }) <=
          8 * (8 + settings.slots + 12));
    CHECK(countFlows(simulation, FlowState::Refused) >= 800);
    openFlowsEvenly(simulation, 400, 1s);
    const auto before = countFlows(simulation, FlowState::Closed);
    openFlowsEvenly(simulation, 400, 1s);
    CHECK(countFlows(simulation, FlowState::Closed) - before >= 380);
  }
  checkNoViolations(simulation);
}

TEST_CASE("packet loss breaks no flow")
{
  FlowTesting::FlowSimulationSettings settings;
  settings.loss = 0.03;
  FlowSimulation simulation(settings);
  for (int i = 0; i < 30; ++i) {
    simulation.openFlow("red", i % 2, 6, 300ms);
  }
  simulation.advance(5s);
  for (const auto& name : simulation.balancerNames()) {
    simulation.killBalancer(name);
    simulation.startBalancer(name);
  }
  simulation.advance(15s);
  CHECK(countFlows(simulation, FlowState::Broken) == 0);
  CHECK(countFlows(simulation, FlowState::Closed) == 30);
  checkNoViolations(simulation);
}

TEST_CASE("flow takeover needs few owner queries in a large service")
{
  // 42 targets, as in the largest service of the deployments served.
  FlowTesting::FlowSimulationSettings settings;
  settings.targetsPerService = 42;
  FlowSimulation simulation(settings);
  simulation.killBalancer("b1");
  for (int i = 0; i < 120; ++i) {
    simulation.openFlow("red", 0, 8, 300ms);
    simulation.advance(5ms);
  }
  simulation.advance(200ms);
  const auto queryCountBefore = simulation.ownerQueryCount();
  const auto openCount = countFlows(simulation, FlowState::Open);
  REQUIRE(openCount == 120);
  simulation.startBalancer("b1");
  simulation.killBalancer("b3");
  simulation.advance(800ms);
  // If 1,000 flows per second move over a link of 10 Mbit/s, each may use 1,250
  // bytes. Half of that is about 10 messages of 64 bytes.
  CHECK(simulation.ownerQueryCount() - queryCountBefore <= 10 * openCount);
  simulation.advance(6s);
  CHECK(countFlows(simulation, FlowState::Closed) == 120);
  checkNoViolations(simulation);
}

TEST_CASE(
  "flows not placed on their first choice are found without a full search")
{
  // Two slots per target, so that the first choices of many flows are full.
  FlowTesting::FlowSimulationSettings settings;
  settings.targetsPerService = 37;
  settings.slots = 2;
  FlowSimulation simulation(settings);
  simulation.killBalancer("b1");
  for (int i = 0; i < 200; ++i) {
    simulation.openFlow("red", 0, 8, 300ms);
    simulation.advance(1ms);
  }
  // All requests so far are answered and the next ones are not due, so killing
  // b3 loses no packet.
  simulation.advance(100ms);
  simulation.startBalancer("b1");
  simulation.killBalancer("b3");
  simulation.advance(8s);
  CHECK(countFlows(simulation, FlowState::Closed) == 200);
  // 30 ms of processing, an owner query and its reply across zones, and the
  // network latency of the request and its answer.
  CHECK(answersWithin(simulation, 150ms) == 200 * 8);
  checkNoViolations(simulation);
}

TEST_CASE("balancers with narrow links that restart in series forward no flow "
          "past its owner")
{
  constexpr std::size_t kFlowCount = 1'600;
  FlowTesting::FlowSimulationSettings settings;
  settings.balancersPerZone = 4;
  settings.targetsPerService = 37;
  settings.slots = 2;
  settings.narrowLinkBytesPerSecond = 1'250'000;
  settings.narrowBalancersPerZone = 2;
  settings.probesReadiness = true;
  FlowSimulation simulation(settings);
  for (const auto& name : simulation.targetNames()) {
    simulation.setProcessingTime(name, 10ms);
  }
  // Agents report that they know all flows.
  simulation.advance(31s);
  for (std::size_t i = 0; i < kFlowCount; ++i) {
    const auto pause = 500ms + i * 613 % 500 * 1ms;
    const auto requestCount = static_cast<std::size_t>(13s / pause);
    const auto requestBytes = 270 + i * 317 % 600;
    simulation.openFlow("red", 0, requestCount, pause, requestBytes);
    if (i % 2 == 0) {
      simulation.advance(1ms);
    }
  }
  simulation.advance(2s);
  simulation.terminateInSeries(simulation.balancerNames(), 10ms);
  openFlowsEvenly(simulation, 200, 11s);
  simulation.advance(7s);
  CHECK(simulation.counterSum(Steering::SteeringCounter::TargetsSuspected) ==
        0);
  CHECK(countFlows(simulation, FlowState::Closed) ==
        simulation.callers().size());
  checkNoViolations(simulation);
}

// Guards against open flows that end with the evacuation, and against new ones
// from a balancer that has not heard of it.
TEST_CASE("an evacuated zone keeps its flows and gets no new ones")
{
  FlowSimulation simulation({});
  auto& caller = simulation.openFlow("red", 0, 30, 300ms);
  simulation.advance(200ms);
  const auto owner = simulation.runs().front().target;
  simulation.pauseMapUpdates("b1");
  simulation.setEvacuated(0, true);
  SUBCASE("a balancer does not follow the store") {}
  SUBCASE("the store is restored from a copy without the evacuation")
  {
    simulation.advance(1s);
    simulation.restoreStore(1);
  }
  // Longer than the bound of 5 s, after which new flows are violations.
  openFlowsEvenly(simulation, 50, 7s);
  simulation.advance(3s);
  CHECK(caller.state() == FlowState::Closed);
  CHECK(simulation.runs().back().target == owner);
  CHECK(countFlows(simulation, FlowState::Closed) ==
        simulation.callers().size());
  simulation.resumeMapUpdates("b1");
  simulation.setEvacuated(0, false);
  const auto runCountBefore = simulation.runs().size();
  openFlowsEvenly(simulation, 50, 1s);
  CHECK(std::any_of(simulation.runs().begin() +
                      static_cast<std::ptrdiff_t>(runCountBefore),
                    simulation.runs().end(),
                    [&](const auto& aRun) { return aRun.target == owner; }));
  checkNoViolations(simulation);
}
