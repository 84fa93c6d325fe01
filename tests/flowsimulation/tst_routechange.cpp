#include "flowsimulation/flowsimulation.h"

#include "steering/routehistory.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace {

using namespace std::chrono_literals;
using FlowTesting::FlowSimulation;
using FlowTesting::FlowState;

constexpr std::size_t kFlowCount = 24;
/** Agents have seen all open flows after this time. */
constexpr auto kFullHistoryTime = 31s;

/** Opens flows that send a request every aPause. */
void
openLongFlows(FlowSimulation& aSimulation,
              std::size_t aRequestCount,
              Core::Duration aPause = 500ms)
{
  for (std::size_t i = 0; i < kFlowCount; ++i) {
    aSimulation.openFlow(
      "red", i % FlowSimulation::kZoneCount, aRequestCount, aPause);
    aSimulation.advance(10ms);
  }
  aSimulation.advance(500ms);
}

/** Restarts the balancers one after the other. */
void
rollBalancers(FlowSimulation& aSimulation)
{
  for (const auto& name : aSimulation.balancerNames()) {
    aSimulation.killBalancer(name);
    aSimulation.advance(300ms);
    aSimulation.startBalancer(name);
    aSimulation.advance(300ms);
  }
}

/** Restarts all balancers at once, so that none can learn from another. */
void
restartAllBalancers(FlowSimulation& aSimulation)
{
  for (const auto& name : aSimulation.balancerNames()) {
    aSimulation.killBalancer(name);
  }
  aSimulation.advance(100ms);
  for (const auto& name : aSimulation.balancerNames()) {
    aSimulation.startBalancer(name);
  }
}

void
rollAgents(FlowSimulation& aSimulation)
{
  for (const auto& name : aSimulation.targetNames()) {
    aSimulation.killAgent(name);
    aSimulation.advance(50ms);
    aSimulation.startAgent(name);
    aSimulation.advance(50ms);
  }
}

/** Restarts all balancers and agents at once; the targets keep their flows. */
void
restartAllProcesses(FlowSimulation& aSimulation)
{
  for (const auto& name : aSimulation.targetNames()) {
    aSimulation.killAgent(name);
  }
  restartAllBalancers(aSimulation);
  for (const auto& name : aSimulation.targetNames()) {
    aSimulation.startAgent(name);
  }
}

void
checkAllAnswered(const FlowSimulation& aSimulation)
{
  for (const auto& caller : aSimulation.callers()) {
    CHECK(caller->state() == FlowState::Closed);
    CHECK(caller->answerCount() == caller->requests().size());
  }
  for (const auto& line : aSimulation.violations()) {
    FAIL_CHECK(line);
  }
}

} // namespace

// Guards against the reset of open flows at a service that a configuration
// takes out of their route.
TEST_CASE("open flows stay at a service that leaves their route")
{
  FlowSimulation simulation({});
  simulation.setShares("red", { "red", "blue" });
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 18);
  simulation.setShares("red", { "blue" });
  simulation.advance(1s);
  SUBCASE("the balancers have cached the flows") {}
  SUBCASE("the balancers are restarted in turn")
  {
    rollBalancers(simulation);
  }
  SUBCASE("no balancer knows the configuration before")
  {
    restartAllBalancers(simulation);
  }
  SUBCASE("the service leaves the configuration")
  {
    simulation.removeService("red");
  }
  SUBCASE("the service leaves the configuration and balancers are restarted")
  {
    simulation.removeService("red");
    rollBalancers(simulation);
  }
  SUBCASE("more configurations follow")
  {
    simulation.promoteConfiguration();
    rollBalancers(simulation);
    simulation.promoteConfiguration();
  }
  simulation.advance(14s);
  checkAllAnswered(simulation);
}

// Guards against flows that get no packets any more when no agent knows their
// owner, whose service has left the route.
TEST_CASE("idle flows of a service that left their route survive new agents")
{
  FlowSimulation simulation({});
  simulation.setShares("red", { "red", "blue" });
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 3, 6s);
  simulation.setShares("red", { "blue" });
  SUBCASE("the balancers have cached the flows") {}
  SUBCASE("the balancers are restarted before the agents")
  {
    rollBalancers(simulation);
  }
  rollAgents(simulation);
  simulation.advance(16s);
  checkAllAnswered(simulation);
}

// Guards against packets that only reach the targets of a route's new service
// when no process is left that knows the former one.
TEST_CASE(
  "idle flows of a service that left their route survive the restart of "
  "all processes")
{
  FlowSimulation simulation({});
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 3, 6s);
  simulation.setShares("red", { "blue" });
  SUBCASE("the service stays in the configuration") {}
  SUBCASE("the service leaves the configuration")
  {
    simulation.removeService("red");
  }
  simulation.advance(1s);
  restartAllProcesses(simulation);
  simulation.advance(20s);
  checkAllAnswered(simulation);
}

// Guards against resets of flows of living targets whose announcements are
// newer than the configuration that the balancers find when they start.
TEST_CASE("flows of targets that were announced again survive new balancers")
{
  FlowSimulation simulation({});
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 3, 6s);
  simulation.setShares("red", { "blue" });
  simulation.advance(1s);
  simulation.announceAgain();
  simulation.advance(1s);
  SUBCASE("the agents know the flows")
  {
    restartAllBalancers(simulation);
  }
  SUBCASE("no process knows the flows")
  {
    restartAllProcesses(simulation);
  }
  simulation.advance(20s);
  checkAllAnswered(simulation);
}

// Guards against the loss of flows that other balancers opened by a
// configuration that the balancer has not used.
TEST_CASE("a balancer that missed a configuration finds the flows of it")
{
  FlowSimulation simulation({});
  simulation.setShares("red", { "blue" });
  simulation.advance(Steering::RouteHistory::kRetention);
  simulation.pauseMapUpdates("b1");
  simulation.setShares("red", { "red" });
  openLongFlows(simulation, 16);
  SUBCASE("it follows the changes")
  {
    simulation.setShares("red", { "blue" });
    simulation.promoteConfiguration();
    simulation.resumeMapUpdates("b1");
  }
  SUBCASE("it has not received the changes yet") {}
  SUBCASE("it starts after them")
  {
    simulation.setShares("red", { "blue" });
    simulation.killBalancer("b1");
    simulation.advance(500ms);
    simulation.startBalancer("b1");
  }
  // The flows of the other balancer of the zone move to b1.
  simulation.killBalancer("b3");
  simulation.advance(14s);
  checkAllAnswered(simulation);
}

// Guards against packets of an open flow that reach a target of another service
// at a released address, from balancers that do not know which services the
// route has named.
TEST_CASE("a released address of another service gets no packets of open flows")
{
  FlowSimulation simulation({});
  simulation.promoteConfiguration();
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 12);
  const auto owner = simulation.runs().front().target;
  SUBCASE("the balancers have cached the flows") {}
  SUBCASE("the balancers do not know the flows")
  {
    restartAllBalancers(simulation);
  }
  SUBCASE("neither the balancers nor the agents know the flows")
  {
    restartAllBalancers(simulation);
    rollAgents(simulation);
  }
  simulation.reuseAddress(owner, "blue");
  simulation.advance(14s);
  // No packet reached the service "blue", which the route has never named.
  for (const auto& line : simulation.violations()) {
    FAIL_CHECK(line);
  }
  const auto lostCount = std::count_if(
    simulation.callers().begin(),
    simulation.callers().end(),
    [](const auto& aCaller) { return aCaller->state() != FlowState::Closed; });
  const auto ownedCount =
    std::count_if(simulation.runs().begin(),
                  simulation.runs().begin() + kFlowCount,
                  [&owner](const auto& aRun) { return aRun.target == owner; });
  CHECK(lostCount == ownedCount);
}

// Guards against the reset of open flows by balancers that have all started
// after the service of the flows left the configuration, and take its
// announcements for those of another writer.
TEST_CASE("open flows stay at a service that no known configuration names")
{
  FlowSimulation simulation({});
  simulation.advance(kFullHistoryTime);
  openLongFlows(simulation, 12);
  simulation.setShares("red", { "blue" });
  simulation.removeService("red");
  restartAllBalancers(simulation);
  simulation.advance(10s);
  checkAllAnswered(simulation);
}
