#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "flowworld/flowworld.h"

#include <algorithm>
#include <map>

namespace {

using namespace std::chrono_literals;
using FlowWorld::AttemptState;
using FlowWorld::World;

std::size_t
countOf(const World& aWorld, AttemptState aState)
{
  return static_cast<std::size_t>(std::count_if(
    aWorld.callers().begin(),
    aWorld.callers().end(),
    [aState](const auto& aCaller) { return aCaller->state() == aState; }));
}

/** Answers within aTime of the caller's first packet or request. */
std::size_t
answersWithin(const World& aWorld, Core::Duration aTime)
{
  std::size_t count = 0;
  for (const auto& caller : aWorld.callers()) {
    for (const auto time : caller->times()) {
      count += time <= aTime ? 1 : 0;
    }
  }
  return count;
}

void
checkPromises(const World& aWorld)
{
  for (const auto& line : aWorld.brokenPromises()) {
    FAIL_CHECK(line);
  }
}

/** Opens so many flows a second for a time. */
void
openEvenly(World& aWorld, int aPerSecond, Core::Duration aTime)
{
  const auto end = aWorld.now() + aTime;
  const auto gap = std::chrono::microseconds(1'000'000 / aPerSecond);
  std::size_t zone = 0;
  auto next = aWorld.now();
  while (aWorld.now() < end) {
    while (next <= aWorld.now()) {
      aWorld.open("red", zone++ % World::kZones);
      next += gap;
    }
    aWorld.advance(1ms);
  }
}

} // namespace

TEST_CASE("on a calm day every request is answered in time")
{
  World world({});
  openEvenly(world, 100, 2s);
  world.advance(1s);
  CHECK(countOf(world, AttemptState::Closed) == 200);
  CHECK(answersWithin(world, 100ms) == 200);
  checkPromises(world);
}

TEST_CASE("a long flow survives that every balancer is replaced")
{
  World world({});
  auto& caller = world.open("red", 0, 10, 400ms);
  world.advance(300ms);
  for (const auto& name : world.balancerNames()) {
    world.killBalancer(name);
    world.advance(100ms);
    world.startBalancer(name);
    world.advance(500ms);
  }
  world.advance(6s);
  CHECK(caller.state() == AttemptState::Closed);
  CHECK(caller.answered() == 10);
  checkPromises(world);
}

TEST_CASE("a long flow survives the restart of its agent")
{
  World world({});
  auto& caller = world.open("red", 0, 6, 400ms);
  world.advance(300ms);
  for (const auto& name : world.targetNames()) {
    world.killAgent(name);
    world.advance(50ms);
    world.startAgent(name);
  }
  world.advance(8s);
  CHECK(caller.state() == AttemptState::Closed);
  checkPromises(world);
}

TEST_CASE("a flow stays with a target that drains, and no new one comes")
{
  World world({});
  auto& caller = world.open("red", 0, 5, 300ms);
  world.advance(200ms);
  REQUIRE_FALSE(world.runs().empty());
  const auto owner = world.runs().front().target;
  world.drainTarget(owner);
  const auto before = world.runs().size();
  openEvenly(world, 50, 1s);
  world.advance(2s);
  CHECK(caller.state() == AttemptState::Closed);
  const auto others =
    std::count_if(world.runs().begin() + static_cast<std::ptrdiff_t>(before),
                  world.runs().end(),
                  [&](const auto& aRun) { return aRun.target == owner; });
  CHECK(others == 4);
  checkPromises(world);
}

TEST_CASE("the silence of a target costs a new flow half of a copy's time")
{
  World world({});
  world.freeze("t1");
  for (int i = 0; i < 40; ++i) {
    world.open("red", 0);
  }
  world.advance(2s);
  CHECK(countOf(world, AttemptState::Closed) == 40);
  CHECK(answersWithin(world, 300ms) == 40);
  const auto before = world.callers().size();
  for (int i = 0; i < 20; ++i) {
    world.open("red", 0);
  }
  world.advance(1s);
  for (std::size_t i = before; i < world.callers().size(); ++i) {
    REQUIRE(world.callers()[i]->times().size() == 1);
    CHECK(world.callers()[i]->times()[0] < 150ms);
  }
  checkPromises(world);
}

TEST_CASE("callers of a crashed target hear of it at once")
{
  World world({});
  auto& caller = world.open("red", 0, 3, 300ms);
  world.advance(200ms);
  const auto owner = world.runs().front().target;
  world.reuseAddress(owner, "blue");
  world.advance(1s);
  CHECK(caller.state() == AttemptState::Broken);
  checkPromises(world);
}

TEST_CASE("an address that went to another service gets none of the old flows")
{
  World world({});
  for (int i = 0; i < 20; ++i) {
    world.open("red", 0, 8, 200ms);
  }
  world.advance(300ms);
  for (const auto& name : world.balancerNames()) {
    world.holdMaps(name);
  }
  world.reuseAddress("t1", "blue");
  for (int i = 0; i < 20; ++i) {
    world.open("red", 0);
  }
  world.advance(5s);
  checkPromises(world);
}

TEST_CASE("a balancer with an old map resets no flow of a new target")
{
  FlowWorld::FlowWorldSettings settings;
  settings.targets = 1;
  World world(settings);
  world.holdMaps("b1");
  const auto added = world.addTarget("red");
  world.killTarget("t1");
  for (int i = 0; i < 10; ++i) {
    world.open("red", 0, 6, 300ms);
  }
  world.advance(200ms);
  // All flows of the zone go through the balancer that does not know it.
  world.killBalancer("b3");
  world.advance(2s);
  checkPromises(world);
  world.releaseMaps("b1");
  world.advance(6s);
  CHECK(countOf(world, AttemptState::Broken) == 0);
  CHECK(world.isAlive(added));
  checkPromises(world);
}

TEST_CASE("beyond the room of all targets the answers that come are in time")
{
  // 4 targets with 4 slots at 30 ms answer 533 a second; 800 come.
  World world({});
  openEvenly(world, 800, 3s);
  world.advance(4s);
  const auto inTime = answersWithin(world, 300ms);
  MESSAGE("answered in time: " << inTime << " of 2400, in all "
                               << answersWithin(world, 10s));
  // At most 1600 can be; a queue in order of arrival gives about 700.
  CHECK(inTime > 1'200);
  for (const auto& name : world.targetNames()) {
    CHECK(world.target(name)->mostRunning() <= 5);
  }
  checkPromises(world);
}

TEST_CASE("flows that met no map are answered as soon as there is one")
{
  World world({});
  for (const auto& name : world.balancerNames()) {
    world.killBalancer(name);
    world.startBalancer(name, false);
  }
  for (int i = 0; i < 12; ++i) {
    world.open("red", i % 2);
  }
  world.advance(450ms);
  CHECK(world.runs().empty());
  for (const auto& name : world.balancerNames()) {
    world.releaseMaps(name);
  }
  world.advance(100ms);
  CHECK(countOf(world, AttemptState::Closed) == 12);
  checkPromises(world);
}

TEST_CASE("work is spread evenly over the targets of a service")
{
  World world({});
  openEvenly(world, 150, 4s);
  world.advance(1s);
  std::map<std::string, int> counts;
  for (const auto& run : world.runs()) {
    ++counts[run.target];
  }
  const auto busiest = std::max_element(
    counts.begin(), counts.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  CHECK(counts.size() == 4);
  CHECK(busiest->second <= 1.10 * 600 / 4);
  checkPromises(world);
}

TEST_CASE("lost packets break no flow")
{
  FlowWorld::FlowWorldSettings settings;
  settings.loss = 0.03;
  World world(settings);
  for (int i = 0; i < 30; ++i) {
    world.open("red", i % 2, 6, 300ms);
  }
  world.advance(5s);
  for (const auto& name : world.balancerNames()) {
    world.killBalancer(name);
    world.startBalancer(name);
  }
  world.advance(15s);
  CHECK(countOf(world, AttemptState::Broken) == 0);
  CHECK(countOf(world, AttemptState::Closed) == 30);
  checkPromises(world);
}

TEST_CASE("taking flows over costs few messages in a large service")
{
  // 42 targets, as in the largest service of the deployments served.
  FlowWorld::FlowWorldSettings settings;
  settings.targets = 42;
  World world(settings);
  world.killBalancer("b1");
  for (int i = 0; i < 120; ++i) {
    world.open("red", 0, 8, 300ms);
    world.advance(5ms);
  }
  world.advance(200ms);
  const auto before = world.questions();
  const auto open = countOf(world, AttemptState::Open);
  REQUIRE(open == 120);
  world.startBalancer("b1");
  world.killBalancer("b3");
  world.advance(800ms);
  // A link of 10 Mbit/s that takes 1,000 flows over in a second has 1,250
  // bytes for each; half of them in messages of 64 bytes are 10.
  CHECK(world.questions() - before <= 10 * open);
  world.advance(6s);
  CHECK(countOf(world, AttemptState::Closed) == 120);
  checkPromises(world);
}

TEST_CASE("flows placed where there was room are found without a walk")
{
  // Two slots a target, so that the first choices of many flows are full.
  FlowWorld::FlowWorldSettings settings;
  settings.targets = 37;
  settings.slots = 2;
  World world(settings);
  world.killBalancer("b1");
  for (int i = 0; i < 200; ++i) {
    world.open("red", 0, 8, 300ms);
    world.advance(1ms);
  }
  // All are answered, and nobody asks again yet: no packet is lost.
  world.advance(100ms);
  world.startBalancer("b1");
  world.killBalancer("b3");
  world.advance(8s);
  CHECK(countOf(world, AttemptState::Closed) == 200);
  // A request of 30 ms, a question and its answer between zones, the way.
  CHECK(answersWithin(world, 150ms) == 200 * 8);
  checkPromises(world);
}
