#include "platform/mapdecoder.h"

#include <doctest/doctest.h>

#include <string>

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kAgentPort = 8172;

const char* const kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"198.18.0.1","prefix":"/8443/","type":"idempotent",
   "timeoutMs":4000,"aimMs":300,"priority":2,
   "trafficSplit":[{"service":"red","weight":90},{"service":"blue","weight":10}]},
  {"name":"r2","host":"198.18.0.2","prefix":"/8443/","type":"upload",
   "timeoutMs":8000,"aimMs":500,"priority":2,"service":"blue"}],
  "services":[{"name":"red"},{"name":"blue"}],
  "limits":{"idleTimeoutMs":15000}})";

std::string
server(const std::string& aService,
       const std::string& aAddress,
       const std::string& aMore = "")
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress +
         R"(","zone":"z1","version":"v1","maxConcurrency":7,"state":"ready",)"
         R"("warmupLeftMs":0,"sequence":4)" +
         aMore + "}";
}

/** A snapshot with the configuration and so many entries. */
class Store
{
public:
  Store() { put("op/config", kConfiguration); }

  void put(const std::string& aKey, const std::string& aValue)
  {
    ++mRevision;
    snapshot.apply({ { aKey, aValue, mRevision, false } }, mRevision);
  }

  void erase(const std::string& aKey)
  {
    ++mRevision;
    snapshot.apply({ { aKey, "", mRevision, true } }, mRevision);
  }

  Platform::DecodedMap decode(
    const Steering::FleetMapPointer& aEarlier = nullptr,
    Core::TimePoint aNow = Core::TimePoint(1s)) const
  {
    return Platform::decodeMap(snapshot, kAgentPort, aEarlier, aNow);
  }

  Platform::StoreSnapshot snapshot;

private:
  std::uint64_t mRevision = 0;
};

Core::Endpoint
agentAt(const std::string& aAddress)
{
  return { *Core::parseAddress(aAddress), kAgentPort };
}

} // namespace

TEST_CASE("routes and targets are decoded")
{
  Store store;
  store.put("servers/i-1", server("red", "10.0.0.1:8080"));
  store.put("servers/i-2", server("blue", "10.0.0.2:8080"));
  const auto decoded = store.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.faults.empty());
  CHECK(decoded.map->version() == 7);
  const auto* route =
    decoded.map->findRoute(*Core::parseEndpoint("198.18.0.1:8443"));
  REQUIRE(route != nullptr);
  CHECK(route->habit == Steering::FlowHabit::ManyRequests);
  CHECK(route->timeout == 4'000ms);
  CHECK(route->latencyObjective == 300ms);
  REQUIRE(route->shares.size() == 2);
  CHECK(route->shares[0].weight == 90);
  const auto* upload =
    decoded.map->findRoute(*Core::parseEndpoint("198.18.0.2:8443"));
  REQUIRE(upload != nullptr);
  CHECK(upload->habit == Steering::FlowHabit::OneRequest);
  const auto* target = decoded.map->findTarget(agentAt("10.0.0.1"));
  REQUIRE(target != nullptr);
  CHECK(target->slots == 7);
  CHECK(target->name == "i-1");
  CHECK(decoded.map->serviceOf(target->agent).name == "red");
}

TEST_CASE("an entry that cannot be read names no target and harms no other")
{
  const std::string good = server("red", "10.0.0.1:8080");
  std::string bad;
  SUBCASE("unreadable bytes")
  {
    bad = "\xff\xfe{";
  }
  SUBCASE("no object")
  {
    bad = "[1]";
  }
  SUBCASE("a state without a name here")
  {
    bad = server("red", "10.0.0.9:8080", R"(,"state":"sleeping")");
  }
  SUBCASE("an unknown service")
  {
    bad = server("green", "10.0.0.9:8080");
  }
  SUBCASE("an address of another type")
  {
    bad = R"({"service":"red","address":7,"zone":"z1","maxConcurrency":7,)"
          R"("state":"ready"})";
  }
  SUBCASE("slots of another type")
  {
    bad = R"({"service":"red","address":"10.0.0.9:8080","zone":"z1",)"
          R"("maxConcurrency":"many","state":"ready"})";
  }
  SUBCASE("missing fields")
  {
    bad = R"({"service":"red"})";
  }
  Store store;
  store.put("servers/i-1", good);
  store.put("servers/bad", bad);
  const auto decoded = store.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.faults.size() == 1);
  CHECK(decoded.map->findTarget(agentAt("10.0.0.9")) == nullptr);
  CHECK(decoded.map->acceptingCount() == 1);
}

TEST_CASE("a route that cannot be read is left out alone")
{
  Store store;
  store.put(
    "op/config",
    R"({"version":8,"routes":[{"name":"x","host":"nowhere",)"
    R"("prefix":"/1/","type":"upload","service":"red"},)"
    R"({"name":"y","host":"198.18.0.9","prefix":"/9/",)"
    R"("type":"upload","service":"red"}],"services":[{"name":"red"}]})");
  const auto decoded = store.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.faults.size() == 1);
  CHECK(decoded.map->routeCount() == 1);
}

TEST_CASE("of two entries for one address the later start holds")
{
  Store store;
  store.put("servers/old", server("red", "10.0.0.1:8080", R"(,"born":1000)"));
  store.put("servers/new", server("blue", "10.0.0.1:8080", R"(,"born":2000)"));
  store.put("servers/other", server("red", "10.0.0.2:8080", R"(,"born":500)"));
  const auto decoded = store.decode();
  REQUIRE(decoded.map != nullptr);
  const auto agent = agentAt("10.0.0.1");
  REQUIRE(decoded.map->findTarget(agent) != nullptr);
  CHECK(decoded.map->findTarget(agent)->name == "new");
  CHECK(decoded.map->serviceOf(agent).name == "blue");
  CHECK(decoded.map->findTarget(agentAt("10.0.0.2"))->name == "other");
}

TEST_CASE("a target that vanished is kept for its flows, and for a lapse")
{
  Store store;
  store.put("servers/i-1", server("red", "10.0.0.1:8080"));
  store.put("servers/i-2", server("red", "10.0.0.2:8080"));
  const auto before = store.decode().map;
  store.erase("servers/i-1");
  const Core::TimePoint vanished(10s);
  const auto after = store.decode(before, vanished).map;
  const auto* target = after->findTarget(agentAt("10.0.0.1"));
  REQUIRE(target != nullptr);
  CHECK(target->isDeparted());
  CHECK(target->takesNewFlows(vanished + 1'900ms));
  CHECK_FALSE(target->takesNewFlows(vanished + 2'000ms));
  CHECK(after->acceptingCount() == 1);

  SUBCASE("a later map remembers when it vanished")
  {
    const auto later = store.decode(after, vanished + 3s).map;
    CHECK(later->findTarget(agentAt("10.0.0.1"))->departedAt == vanished);
  }
  SUBCASE("it is forgotten when its flows are too old")
  {
    const auto later = store.decode(after, vanished + 61s).map;
    CHECK(later->findTarget(agentAt("10.0.0.1")) == nullptr);
  }
  SUBCASE("it comes back")
  {
    store.put("servers/i-1", server("red", "10.0.0.1:8080"));
    const auto later = store.decode(after, vanished + 1s).map;
    CHECK_FALSE(later->findTarget(agentAt("10.0.0.1"))->isDeparted());
  }
  SUBCASE("its address went to another service")
  {
    store.put("servers/i-3", server("blue", "10.0.0.1:8080"));
    const auto later = store.decode(after, vanished + 3s).map;
    const auto agent = agentAt("10.0.0.1");
    CHECK(later->serviceOf(agent).name == "blue");
    CHECK_FALSE(later->findTarget(agent)->isDeparted());
  }
}

TEST_CASE("a draining target takes no new flow, nor after it vanished")
{
  Store store;
  store.put("servers/i-1",
            R"({"service":"red","address":"10.0.0.1:8080","zone":"z1",)"
            R"("maxConcurrency":7,"state":"draining"})");
  const auto before = store.decode().map;
  const Core::TimePoint now(10s);
  CHECK_FALSE(before->findTarget(agentAt("10.0.0.1"))->takesNewFlows(now));
  store.erase("servers/i-1");
  const auto after = store.decode(before, now).map;
  CHECK_FALSE(after->findTarget(agentAt("10.0.0.1"))->takesNewFlows(now));
}

TEST_CASE("without a configuration there is no map")
{
  Store store;
  store.erase("op/config");
  CHECK(store.decode().map == nullptr);
  store.put("op/config", "{");
  CHECK(store.decode().map == nullptr);
}
