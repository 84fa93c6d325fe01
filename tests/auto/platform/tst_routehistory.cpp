#include "storefixture.h"

#include "platform/announcement.h"
#include "platform/mapdecoder.h"
#include "platform/routehistoryformat.h"

#include "standins/platformstore.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <string>

namespace {

using namespace std::chrono_literals;
using namespace PlatformTesting;
using Steering::OwnerChance;
using Steering::RouteHistory;

constexpr std::uint16_t kAgentPort = 8172;
const Core::TimePoint kStart(1'000s);
const Core::Endpoint kRoute{ 0xC6120001, 443 };

/** A configuration with one route. */
std::string
configurationFor(unsigned aVersion,
                 const std::string& aService,
                 const std::string& aServices =
                   R"({"name":"red"},{"name":"blue"},{"name":"green"})")
{
  return absl::StrCat(
    R"({"version":)",
    aVersion,
    R"(,"routes":[{"host":"198.18.0.1","prefix":"/443/","type":"upload",)",
    R"("service":")",
    aService,
    R"("}],"services":[)",
    aServices,
    "]}");
}

Platform::StoreItem
configurationItem(unsigned aVersion,
                  const std::string& aService,
                  std::uint64_t aRevision)
{
  Platform::StoreItem item{ Platform::kConfigurationKey,
                            configurationFor(aVersion, aService),
                            { 1, aRevision } };
  item.createdAt = { 1, 1 };
  return item;
}

OwnerChance
chanceOf(const Steering::FleetMapPointer& aMap,
         const std::string& aAddress,
         Core::TimePoint aNow)
{
  const auto* route = aMap->findRoute(kRoute);
  REQUIRE(route != nullptr);
  return aMap->ownerChance(
    *route, { *Core::parseAddress(aAddress), kAgentPort }, aNow);
}

} // namespace

// Guards against resets of flows that other balancers opened by a configuration
// that was replaced before this one used it.
TEST_CASE("a configuration that is replaced at once leaves its services")
{
  Platform::StoreSnapshot snapshot;
  snapshot.apply({ configurationItem(1, "blue", 1),
                   { "servers/a", announcementText("10.0.0.1"), { 1, 2 } } },
                 { 1, 2 },
                 kStart);
  Platform::MapDecoder decoder;
  const auto first = decoder.decode(snapshot, kAgentPort, nullptr, kStart);
  CHECK(chanceOf(first.map, "10.0.0.1", kStart) == OwnerChance::None);
  const auto replaced = configurationItem(2, "red", 3);
  const auto last = configurationItem(3, "blue", 4);
  decoder.followConfiguration(replaced, kStart);
  decoder.followConfiguration(last, kStart);
  snapshot.apply({ replaced, last }, { 1, 4 }, kStart);
  const auto map = decoder.decode(snapshot, kAgentPort, first.map, kStart).map;
  CHECK(map->version() == 3);
  CHECK(map->isRouteHistoryComplete(kStart));
  CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::Possible);
}

TEST_CASE("a history is incomplete after configurations were missed")
{
  Platform::StoreSnapshot snapshot;
  snapshot.replace({ configurationItem(1, "blue", 1) }, { 1, 1 }, kStart);
  Platform::MapDecoder decoder;
  CHECK(decoder.decode(snapshot, kAgentPort, nullptr, kStart)
          .map->isRouteHistoryComplete(kStart));
  snapshot.replace({ configurationItem(9, "blue", 9) }, { 1, 9 }, kStart);
  const auto map = decoder.decode(snapshot, kAgentPort, nullptr, kStart).map;
  CHECK_FALSE(map->isRouteHistoryComplete(kStart));
  CHECK(map->isRouteHistoryComplete(kStart + RouteHistory::kRetention));
}

// Guards against the loss of open flows at targets whose service left the
// configuration, which are still announced.
TEST_CASE("targets of a service that left the configuration keep their flows")
{
  Platform::StoreSnapshot snapshot;
  snapshot.apply({ configurationItem(1, "red", 1),
                   { "servers/a", announcementText("10.0.0.1"), { 1, 2 } } },
                 { 1, 2 },
                 kStart);
  Platform::MapDecoder decoder;
  auto map = decoder.decode(snapshot, kAgentPort, nullptr, kStart).map;
  snapshot.apply({ { Platform::kConfigurationKey,
                     configurationFor(2, "blue", R"({"name":"blue"})"),
                     { 1, 3 } } },
                 { 1, 3 },
                 kStart);
  map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
  CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::Possible);
  CHECK_FALSE(map->findTarget({ *Core::parseAddress("10.0.0.1"), kAgentPort })
                ->isRemoved());
}

// Guards against an odd entry that is used for new flows, that replaces a
// target, or that is used although the configurations before are known.
TEST_CASE("announcements of unnamed services are used only without history")
{
  Platform::StoreSnapshot snapshot;
  snapshot.apply({ configurationItem(2, "red", 9),
                   { "servers/a", announcementText("10.0.0.1"), { 1, 3 } },
                   { "servers/odd",
                     announcementText("10.0.0.1", "ready", 9'000, "grey"),
                     { 1, 4 } },
                   { "servers/x",
                     announcementText("10.0.0.2", "ready", 2'000, "grey"),
                     { 1, 5 } } },
                 { 1, 9 },
                 kStart);
  Platform::MapDecoder decoder;
  const auto map = decoder.decode(snapshot, kAgentPort, nullptr, kStart).map;
  CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::Possible);
  CHECK(chanceOf(map, "10.0.0.2", kStart) == OwnerChance::Unlikely);
  const auto* target =
    map->findTarget({ *Core::parseAddress("10.0.0.2"), kAgentPort });
  REQUIRE(target != nullptr);
  CHECK_FALSE(target->acceptsNewFlows(kStart));
  const auto later = kStart + RouteHistory::kRetention;
  const auto laterMap = decoder.decode(snapshot, kAgentPort, map, later).map;
  CHECK(laterMap->findTarget(target->agent) == nullptr);
}

// Guards against packets of a service's flows at another service that has taken
// a released address.
TEST_CASE("a released address of another service owns no flows of the route")
{
  Platform::StoreSnapshot snapshot;
  snapshot.apply({ configurationItem(1, "red", 1),
                   { "servers/a", announcementText("10.0.0.1"), { 1, 2 } } },
                 { 1, 2 },
                 kStart);
  Platform::MapDecoder decoder;
  auto map = decoder.decode(snapshot, kAgentPort, nullptr, kStart).map;
  const auto next = configurationItem(2, "blue", 3);
  decoder.followConfiguration(next, kStart);
  snapshot.apply({ next,
                   { "servers/b",
                     announcementText("10.0.0.1", "ready", 2'000, "green"),
                     { 1, 4 } } },
                 { 1, 4 },
                 kStart);
  map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
  CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::None);
}

TEST_CASE("a history is the same after it was sent to a peer")
{
  const RouteHistory::Span span{ 3, 9, { 2, 30 }, kStart - 12s };
  const RouteHistory history(span, { { { kRoute, "red" }, kStart - 4s } });
  const auto received = Platform::parseRouteHistory(
    Platform::formatRouteHistory(history, kStart), kStart + 100ms);
  REQUIRE(received.ok());
  CHECK(received->span().firstVersion == 3);
  CHECK(received->span().lastVersion == 9);
  CHECK(received->span().firstRevision == span.firstRevision);
  CHECK(received->span().since == span.since + 100ms);
  REQUIRE(received->formerServices().size() == 1);
  CHECK(received->formerServices().begin()->first ==
        RouteHistory::Key{ kRoute, "red" });
}

TEST_CASE("an invalid history of a peer is reported")
{
  const RouteHistory history({ 3, 9, { 2, 30 }, kStart },
                             { { { kRoute, "red" }, kStart } });
  auto value = Platform::formatRouteHistory(history, kStart);
  SUBCASE("not an object")
  {
    value = 7;
  }
  SUBCASE("no version")
  {
    value.removeMember("firstVersion");
  }
  SUBCASE("an age that is too long")
  {
    value["ageMs"] = 1'000'000;
  }
  SUBCASE("the services are not an array")
  {
    value["formerServices"] = "red";
  }
  SUBCASE("a service is not an object")
  {
    value["formerServices"][0] = 1;
  }
  SUBCASE("an address cannot be read")
  {
    value["formerServices"][0]["address"] = "198.18.0.1:99999";
  }
  CHECK_FALSE(Platform::parseRouteHistory(value, kStart).ok());
}

// Guards against a balancer that starts after a change and resets the flows of
// the configuration before.
TEST_CASE("a process that starts learns from a peer what routes named before")
{
  const auto isComplete = [](const Follower& aFollower) {
    const auto map = aFollower.fleetMap.current();
    return map != nullptr &&
           map->isRouteHistoryComplete(Core::SystemClock().now());
  };
  Standins::PlatformStore store;
  store.put(Platform::kConfigurationKey, configurationFor(1, "red"));
  store.put("servers/a", announcementText("10.0.0.1"));
  Follower running(store.endpoint());
  running.start();
  REQUIRE(waitFor([&] { return running.version() == 1; }));
  store.put(Platform::kConfigurationKey, configurationFor(2, "blue"));
  REQUIRE(waitFor([&] { return running.version() == 2; }));
  CHECK(isComplete(running));
  Follower alone(store.endpoint());
  alone.start();
  REQUIRE(waitFor([&] { return alone.version() == 2; }));
  CHECK_FALSE(isComplete(alone));
  Follower started(store.endpoint(), { running.control() });
  started.start();
  REQUIRE(waitFor([&] { return isComplete(started); }));
  CHECK(chanceOf(started.fleetMap.current(),
                 "10.0.0.1",
                 Core::SystemClock().now()) == OwnerChance::Possible);
}

// Guards against resets of flows of living targets whose announcements expired,
// and against packets for another service that has taken a released address.
TEST_CASE("a target is newer than the history only if its start was observed")
{
  auto announcement = [](std::uint64_t aRevision, int aBorn) {
    Platform::StoreItem item{ "servers/a",
                              announcementText(
                                "10.0.0.1", "ready", aBorn, "green"),
                              { 1, aRevision } };
    item.createdAt = item.revision;
    return item;
  };
  Platform::StoreSnapshot snapshot;
  snapshot.replace({ configurationItem(2, "red", 9), announcement(10, 1'000) },
                   { 1, 10 },
                   kStart);
  Platform::MapDecoder decoder;
  auto map = decoder.decode(snapshot, kAgentPort, nullptr, kStart).map;
  CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::Unlikely);
  SUBCASE("the announcement is created again")
  {
    auto expired = announcement(11, 1'000);
    expired.isDeleted = true;
    snapshot.apply({ expired }, { 1, 11 }, kStart);
    map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
    snapshot.apply({ announcement(12, 1'000) }, { 1, 12 }, kStart);
    map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
    CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::Unlikely);
  }
  SUBCASE("another target takes the address")
  {
    snapshot.apply({ announcement(12, 2'000) }, { 1, 12 }, kStart);
    map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
    CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::None);
    map = decoder.decode(snapshot, kAgentPort, map, kStart).map;
    CHECK(chanceOf(map, "10.0.0.1", kStart) == OwnerChance::None);
  }
}
