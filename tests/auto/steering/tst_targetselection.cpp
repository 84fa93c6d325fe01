#include "steering/fleetmapbuilder.h"
#include "steering/targetselection.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace {

using namespace std::chrono_literals;
using Steering::Candidate;
using Steering::FlowHabit;
using Steering::LoadBelief;
using Steering::Target;

Target
target(std::uint8_t aNumber, const std::string& aZone, std::uint32_t aSlots)
{
  Target target;
  target.agent = { 0x0A000000U + aNumber, 8172 };
  target.zone = aZone;
  target.slots = aSlots;
  return target;
}

LoadBelief
load(std::uint16_t aInProgress, std::uint16_t aLongFlows)
{
  LoadBelief belief;
  belief.reported = { aInProgress, 0, aLongFlows, 50ms, false };
  return belief;
}

const Target kOne = target(1, "z1", 4);
const Target kTwo = target(2, "z1", 4);
const Target kFar = target(3, "z2", 4);

const Target*
chosen(const std::vector<Candidate>& aCandidates, FlowHabit aHabit)
{
  const auto* it = Steering::selectTarget(aCandidates, aHabit, 1);
  return it == nullptr ? nullptr : it->target;
}

} // namespace

TEST_CASE("a flow of one request goes where the fewest are in progress")
{
  const auto busy = load(3, 0);
  const auto free = load(1, 50);
  CHECK(chosen({ { &kOne, &busy, true }, { &kTwo, &free, true } },
               FlowHabit::OneRequest) == &kTwo);
}

TEST_CASE("a flow of many requests goes where the fewest such flows are")
{
  const auto many = load(0, 50);
  const auto few = load(3, 40);
  CHECK(chosen({ { &kOne, &many, true }, { &kTwo, &few, true } },
               FlowHabit::ManyRequests) == &kTwo);
}

TEST_CASE("the own zone is left only for a real difference")
{
  const auto free = load(0, 0);
  const auto one = load(1, 10);
  const auto full = load(4, 12);
  CHECK(chosen({ { &kOne, &one, true }, { &kFar, &free, false } },
               FlowHabit::OneRequest) == &kOne);
  CHECK(chosen({ { &kOne, &full, true }, { &kFar, &free, false } },
               FlowHabit::OneRequest) == &kFar);
  CHECK(chosen({ { &kOne, &full, true }, { &kFar, &one, false } },
               FlowHabit::ManyRequests) == &kFar);
  const auto eleven = load(1, 10);
  CHECK(chosen({ { &kOne, &eleven, true }, { &kFar, &one, false } },
               FlowHabit::ManyRequests) == &kOne);
}

TEST_CASE("without a target in the own zone another is taken")
{
  const auto full = load(9, 9);
  CHECK(chosen({ { &kFar, &full, false } }, FlowHabit::OneRequest) == &kFar);
  CHECK(chosen({}, FlowHabit::OneRequest) == nullptr);
}

TEST_CASE("a target that just started counts as smaller")
{
  const auto one = load(1, 0);
  const auto two = load(2, 0);
  // 2 of 4 slots against 3 of 4 / 1.6.
  CHECK(chosen({ { &kOne, &two, true, false }, { &kTwo, &two, true, true } },
               FlowHabit::OneRequest) == &kTwo);
  CHECK(chosen({ { &kOne, &one, true, false }, { &kTwo, &two, true, true } },
               FlowHabit::OneRequest) == &kTwo);
}

TEST_CASE("the expected wait grows with the requests ahead")
{
  const auto free = load(3, 0);
  const auto full = load(4, 0);
  const auto queued = load(11, 0);
  CHECK(Steering::expectedQueueTime({ &kOne, &free }) == 0ms);
  CHECK(Steering::expectedQueueTime({ &kOne, &full }) == 12ms);
  CHECK(Steering::expectedQueueTime({ &kOne, &queued }) == 100ms);
}

TEST_CASE("a late flow goes where the fewest requests wait, late ones as well")
{
  auto many = load(3, 0);
  many.reported.lateRequests = 9;
  const auto few = load(6, 0);
  const std::vector<Candidate> candidates{ { &kOne, &many, true },
                                           { &kFar, &few, false } };
  CHECK(Steering::selectForLateFlow(candidates)->target == &kFar);
  CHECK(Steering::selectForLateFlow({}) == nullptr);
}

TEST_CASE("equal targets get equal shares of flows")
{
  const auto none = load(0, 0);
  std::map<const Target*, int> counts;
  for (std::uint16_t i = 1; i <= 1'000; ++i) {
    const std::vector<Candidate> candidates{ { &kOne, &none, true },
                                             { &kTwo, &none, true } };
    const auto hash = Steering::flowHash(Test::flowOf(i));
    ++counts[Steering::selectTarget(candidates, FlowHabit::OneRequest, hash)
               ->target];
  }
  CHECK(counts[&kOne] > 400);
  CHECK(counts[&kTwo] > 400);
}

TEST_CASE("routes spread new flows by weight")
{
  Steering::Route route;
  route.shares = { { 0, 90 }, { 1, 10 } };
  int second = 0;
  for (std::uint16_t i = 1; i <= 10'000; ++i) {
    const auto hash = Steering::flowHash(Test::flowOf(i));
    second += Steering::selectService(route, hash) == 1 ? 1 : 0;
  }
  CHECK(second > 900);
  CHECK(second < 1'100);
  route.shares = { { 0, 0 }, { 1, 5 } };
  CHECK(Steering::selectService(route, 7) == 1);
}

TEST_CASE("a search asks each target once, the own zone first")
{
  Steering::FleetMapBuilder builder;
  for (std::uint8_t i = 1; i <= 6; ++i) {
    builder.target("red", target(i, i % 2 == 0 ? "z1" : "z2", 4));
  }
  auto gone = target(9, "z1", 4);
  gone.departedAt = Core::TimePoint(1s);
  builder.target("red", gone);
  builder.target("blue", target(20, "z1", 4));
  Steering::RouteDeclaration declaration;
  declaration.address = Test::kRoute;
  declaration.shares.push_back({ "red", 1 });
  const auto map = builder.route(declaration).build();
  const auto* route = map->findRoute(Test::kRoute);
  REQUIRE(route != nullptr);
  const auto order = Steering::searchOrder(*map, *route, "z1", 77);
  REQUIRE(order.size() == 7);
  CHECK(std::set<const Target*>(order.begin(), order.end()).size() == 7);
  CHECK(order[0]->zone == "z1");
  CHECK(order[1]->zone == "z1");
  CHECK(order[2]->zone == "z1");
  CHECK(order[3]->zone == "z2");
  CHECK(order[6]->isDeparted());
}
