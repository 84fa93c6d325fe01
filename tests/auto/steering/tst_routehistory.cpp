#include "steering/fleetmapbuilder.h"
#include "steering/routehistory.h"
#include "steering/targetselection.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::OwnerChance;
using Steering::RouteDeclaration;
using Steering::RouteHistory;

const Core::TimePoint kStart(1'000s);
const Core::TimePoint kExpired = kStart + RouteHistory::kRetention;

std::vector<RouteDeclaration>
routesTo(const std::vector<std::string>& aServices)
{
  RouteDeclaration route;
  route.address = Test::kRouteAddress;
  for (const auto& service : aServices) {
    route.shares.push_back({ service, 1 });
  }
  return { route };
}

Core::Endpoint
agent(std::uint8_t aNumber)
{
  return { 0x0A000000U + aNumber, 8172 };
}

/** Agent 1 is of the service "red", agent 2 of "blue", agent 3 of "green". */
Steering::FleetMapPointer
mapOf(const RouteHistory& aHistory,
      const std::vector<std::string>& aServices,
      bool aIsStartObserved = false)
{
  Steering::FleetMapBuilder builder;
  builder.route(routesTo(aServices).front()).routeHistory(aHistory);
  std::uint8_t number = 0;
  for (const auto* service : { "red", "blue", "green" }) {
    Steering::Target target;
    target.agent = agent(++number);
    target.announcedAt = { 1, 10 };
    target.isStartObserved = aIsStartObserved;
    builder.target(service, target);
  }
  return builder.build();
}

OwnerChance
chanceOf(const Steering::FleetMapPointer& aMap,
         std::uint8_t aAgent,
         Core::TimePoint aNow)
{
  return aMap->ownerChance(
    *aMap->findRoute(Test::kRouteAddress), agent(aAgent), aNow);
}

std::vector<Core::Endpoint>
searchedAgents(const Steering::FleetMapPointer& aMap, Core::TimePoint aNow)
{
  std::vector<Core::Endpoint> agents;
  for (const auto* target : Steering::searchOrder(
         *aMap, *aMap->findRoute(Test::kRouteAddress), "z1", 77, aNow)) {
    agents.push_back(target->agent);
  }
  return agents;
}

/** A process that knows all configurations of the last minutes. */
RouteHistory
completeHistory(std::uint64_t aFirstVersion, std::uint64_t aLastVersion)
{
  RouteHistory history;
  history.restart(aFirstVersion, { 1, 5 }, kStart - RouteHistory::kRetention);
  history.extend(aLastVersion);
  return history;
}

} // namespace

// Guards against searches that miss the owner of an open flow because its
// service has left the route.
TEST_CASE("a service may own flows until they have ended after it left a route")
{
  auto history = completeHistory(1, 2);
  history.recordChange(
    routesTo({ "red", "blue" }), routesTo({ "blue" }), kStart);
  const auto map = mapOf(history, { "blue" });
  CHECK_FALSE(map->serves(*map->findRoute(Test::kRouteAddress), agent(1)));
  CHECK(chanceOf(map, 1, kStart) == OwnerChance::Possible);
  CHECK(chanceOf(map, 2, kStart) == OwnerChance::Possible);
  CHECK(chanceOf(map, 3, kStart) == OwnerChance::None);
  CHECK(searchedAgents(map, kStart).size() == 2);
  CHECK(chanceOf(map, 1, kExpired) == OwnerChance::None);
  CHECK(searchedAgents(map, kExpired).size() == 1);
  history.expire(kExpired);
  CHECK(history.formerServices().empty());
}

// Guards against a search that asks the agents of a service twice.
TEST_CASE("a service that returns to a route is searched once")
{
  auto history = completeHistory(1, 3);
  history.recordChange(
    routesTo({ "red", "blue" }), routesTo({ "blue" }), kStart);
  history.recordChange(
    routesTo({ "blue" }), routesTo({ "red", "blue" }), kStart + 1s);
  const auto map = mapOf(history, { "red", "blue" });
  CHECK(searchedAgents(map, kStart + 1s).size() == 2);
}

// Guards against resets by a balancer that has just started.
TEST_CASE("without the configurations before any target may own a flow")
{
  RouteHistory history;
  history.restart(2, { 1, 20 }, kStart);
  auto map = mapOf(history, { "blue" });
  CHECK(chanceOf(map, 1, kStart) == OwnerChance::Unlikely);
  CHECK(chanceOf(map, 2, kStart) == OwnerChance::Possible);
  const auto order = searchedAgents(map, kStart);
  REQUIRE(order.size() == 3);
  CHECK(order.front() == agent(2));
  CHECK(chanceOf(map, 1, kExpired) == OwnerChance::None);
  // The targets started after the first known configuration.
  history.restart(2, { 1, 9 }, kStart);
  map = mapOf(history, { "blue" }, true);
  CHECK(chanceOf(map, 1, kStart) == OwnerChance::None);
  // Revisions of different eras cannot be compared.
  history.restart(2, { 2, 9 }, kStart);
  map = mapOf(history, { "blue" }, true);
  CHECK(chanceOf(map, 1, kStart) == OwnerChance::Unlikely);
}

// Guards against resets of flows of a target whose announcement expired and was
// created again.
TEST_CASE("a later announcement does not show that the target is newer")
{
  RouteHistory history;
  history.restart(2, { 1, 9 }, kStart);
  const auto map = mapOf(history, { "blue" });
  CHECK(chanceOf(map, 1, kStart) == OwnerChance::Unlikely);
}

// Guards against a gap that is taken for knowledge.
TEST_CASE("a history is completed only by one that reaches it")
{
  RouteHistory history;
  history.restart(7, { 1, 70 }, kStart);
  auto peer = completeHistory(3, 6);
  CHECK_FALSE(history.merge(peer));
  CHECK(history.incompleteUntil() == kExpired);
  peer.extend(7);
  CHECK(history.merge(peer));
  CHECK(history.incompleteUntil() == kStart);
  CHECK(history.span().firstVersion == 3);
  CHECK_FALSE(history.merge(peer));
}

TEST_CASE("a process that was cut off joins its history with that of a peer")
{
  auto history = completeHistory(1, 4);
  history.restart(9, { 1, 90 }, kStart + 10s);
  CHECK(history.incompleteUntil() == kExpired + 10s);
  RouteHistory peer;
  SUBCASE("the peer has followed since before the cut")
  {
    peer.restart(3, { 1, 30 }, kStart - 5s);
    peer.extend(9);
    peer.recordChange(routesTo({ "red" }), routesTo({ "blue" }), kStart + 5s);
    CHECK(history.merge(peer));
    CHECK(history.incompleteUntil() == kStart);
  }
  SUBCASE("the peer started during the cut")
  {
    peer.restart(6, { 1, 60 }, kStart + 2s);
    peer.extend(9);
    peer.recordChange(routesTo({ "red" }), routesTo({ "blue" }), kStart + 5s);
    CHECK(history.merge(peer));
    CHECK(history.incompleteUntil() == kExpired + 2s);
  }
  CHECK(history.formerServices().size() == 1);
}
