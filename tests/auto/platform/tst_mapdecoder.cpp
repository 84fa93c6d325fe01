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
serverEntry(const std::string& aService,
            const std::string& aAddress,
            const std::string& aMoreFields = "")
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress +
         R"(","zone":"z1","version":"v1","maxConcurrency":7,"state":"ready",)"
         R"("warmupLeftMs":0,"sequence":4)" +
         aMoreFields + "}";
}

/** A snapshot with a configuration, to which a test adds entries. */
class SnapshotBuilder
{
public:
  SnapshotBuilder() { put("op/config", kConfiguration); }

  void put(const std::string& aKey, const std::string& aValue)
  {
    ++mRevision;
    const auto* existing = snapshot.find(aKey);
    const auto createdAt =
      existing == nullptr ? revision() : existing->createdAt;
    snapshot.apply(
      { { aKey, aValue, revision(), false, createdAt } }, revision(), {});
  }

  void erase(const std::string& aKey)
  {
    ++mRevision;
    snapshot.apply({ { aKey, "", revision(), true } }, revision(), {});
  }

  Platform::DecodedMap decode(
    const Steering::FleetMapPointer& aPreviousMap = nullptr,
    Core::TimePoint aNow = Core::TimePoint(1s)) const
  {
    return Platform::decodeMap(snapshot, kAgentPort, aPreviousMap, aNow);
  }

  Platform::StoreSnapshot snapshot;

private:
  Steering::MapRevision revision() const { return { 1, mRevision }; }

  std::uint64_t mRevision = 0;
};

Core::Endpoint
agentEndpoint(const std::string& aAddress)
{
  return { *Core::parseAddress(aAddress), kAgentPort };
}

} // namespace

TEST_CASE("the idle timeout of the configuration is decoded")
{
  SnapshotBuilder builder;
  CHECK(builder.decode().map->idleTimeout() == 15s);
  builder.put("op/config",
              R"({"version":8,"routes":[],"services":[],"limits":7})");
  CHECK(builder.decode().map->idleTimeout() == 0s);
}

TEST_CASE("routes and targets are decoded")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  builder.put("servers/i-2", serverEntry("blue", "10.0.0.2:8080"));
  const auto decoded = builder.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.errors.empty());
  CHECK(decoded.map->version() == 7);
  const auto* route =
    decoded.map->findRoute(*Core::parseEndpoint("198.18.0.1:8443"));
  REQUIRE(route != nullptr);
  CHECK(route->flowType == Steering::FlowType::ManyRequests);
  CHECK(route->isIdempotent);
  CHECK(route->timeout == 4'000ms);
  CHECK(route->latencyObjective == 300ms);
  REQUIRE(route->shares.size() == 2);
  CHECK(route->shares[0].weight == 90);
  const auto* upload =
    decoded.map->findRoute(*Core::parseEndpoint("198.18.0.2:8443"));
  REQUIRE(upload != nullptr);
  CHECK(upload->flowType == Steering::FlowType::OneRequest);
  CHECK_FALSE(upload->isIdempotent);
  const auto* target = decoded.map->findTarget(agentEndpoint("10.0.0.1"));
  REQUIRE(target != nullptr);
  CHECK(target->slots == 7);
  CHECK(target->name == "i-1");
  CHECK(decoded.map->serviceOf(target->agent).name == "red");
}

TEST_CASE("an invalid entry is skipped and does not affect other entries")
{
  const std::string good = serverEntry("red", "10.0.0.1:8080");
  std::string bad;
  SUBCASE("not JSON")
  {
    bad = "\xff\xfe{";
  }
  SUBCASE("not an object")
  {
    bad = "[1]";
  }
  SUBCASE("unknown state")
  {
    bad = serverEntry("red", "10.0.0.9:8080", R"(,"state":"sleeping")");
  }
  SUBCASE("unknown service")
  {
    bad = serverEntry("green", "10.0.0.9:8080");
  }
  SUBCASE("address is not a string")
  {
    bad = R"({"service":"red","address":7,"zone":"z1","maxConcurrency":7,)"
          R"("state":"ready"})";
  }
  SUBCASE("maxConcurrency is not a number")
  {
    bad = R"({"service":"red","address":"10.0.0.9:8080","zone":"z1",)"
          R"("maxConcurrency":"many","state":"ready"})";
  }
  SUBCASE("missing fields")
  {
    bad = R"({"service":"red"})";
  }
  SnapshotBuilder builder;
  builder.put("servers/i-1", good);
  builder.put("servers/bad", bad);
  const auto decoded = builder.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.errors.size() == 1);
  CHECK(decoded.map->findTarget(agentEndpoint("10.0.0.9")) == nullptr);
  CHECK(decoded.map->acceptingCount() == 1);
}

TEST_CASE("an invalid route is skipped and does not affect other routes")
{
  SnapshotBuilder builder;
  builder.put(
    "op/config",
    R"({"version":8,"routes":[{"name":"x","host":"nowhere",)"
    R"("prefix":"/1/","type":"upload","service":"red"},)"
    R"({"name":"y","host":"198.18.0.9","prefix":"/9/",)"
    R"("type":"upload","service":"red"}],"services":[{"name":"red"}]})");
  const auto decoded = builder.decode();
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.errors.size() == 1);
  CHECK(decoded.map->routeCount() == 1);
}

TEST_CASE("of two entries with one address the one that started later is used")
{
  SnapshotBuilder builder;
  builder.put("servers/old",
              serverEntry("red", "10.0.0.1:8080", R"(,"born":1000)"));
  builder.put("servers/new",
              serverEntry("blue", "10.0.0.1:8080", R"(,"born":2000)"));
  builder.put("servers/other",
              serverEntry("red", "10.0.0.2:8080", R"(,"born":500)"));
  const auto decoded = builder.decode();
  REQUIRE(decoded.map != nullptr);
  const auto agent = agentEndpoint("10.0.0.1");
  REQUIRE(decoded.map->findTarget(agent) != nullptr);
  CHECK(decoded.map->findTarget(agent)->name == "new");
  CHECK(decoded.map->serviceOf(agent).name == "blue");
  CHECK(decoded.map->findTarget(agentEndpoint("10.0.0.2"))->name == "other");
}

TEST_CASE("a removed target stays in the map for its flows and accepts new "
          "flows for two seconds")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  builder.put("servers/i-2", serverEntry("red", "10.0.0.2:8080"));
  const auto before = builder.decode().map;
  builder.erase("servers/i-1");
  const Core::TimePoint removalTime(10s);
  const auto after = builder.decode(before, removalTime).map;
  const auto* target = after->findTarget(agentEndpoint("10.0.0.1"));
  REQUIRE(target != nullptr);
  CHECK(target->isRemoved());
  CHECK(target->acceptsNewFlows(removalTime + 1'900ms));
  CHECK_FALSE(target->acceptsNewFlows(removalTime + 2'000ms));
  CHECK(after->acceptingCount() == 1);

  SUBCASE("a later map has the same time of removal")
  {
    const auto later = builder.decode(after, removalTime + 3s).map;
    CHECK(later->findTarget(agentEndpoint("10.0.0.1"))->removedAt ==
          removalTime);
  }
  SUBCASE("it is not in the map after the retention time")
  {
    const auto later = builder.decode(after, removalTime + 61s).map;
    CHECK(later->findTarget(agentEndpoint("10.0.0.1")) == nullptr);
  }
  SUBCASE("it is announced again")
  {
    builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
    const auto later = builder.decode(after, removalTime + 1s).map;
    CHECK_FALSE(later->findTarget(agentEndpoint("10.0.0.1"))->isRemoved());
  }
  SUBCASE("its address is announced for another service")
  {
    builder.put("servers/i-3", serverEntry("blue", "10.0.0.1:8080"));
    const auto later = builder.decode(after, removalTime + 3s).map;
    const auto agent = agentEndpoint("10.0.0.1");
    CHECK(later->serviceOf(agent).name == "blue");
    CHECK_FALSE(later->findTarget(agent)->isRemoved());
  }
}

TEST_CASE("a draining target accepts no new flows, even after its removal")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1",
              R"({"service":"red","address":"10.0.0.1:8080","zone":"z1",)"
              R"("maxConcurrency":7,"state":"draining"})");
  const auto before = builder.decode().map;
  const Core::TimePoint now(10s);
  CHECK_FALSE(
    before->findTarget(agentEndpoint("10.0.0.1"))->acceptsNewFlows(now));
  builder.erase("servers/i-1");
  const auto after = builder.decode(before, now).map;
  CHECK_FALSE(
    after->findTarget(agentEndpoint("10.0.0.1"))->acceptsNewFlows(now));
}

TEST_CASE("a decoder that keeps the last configuration uses each newer one")
{
  SnapshotBuilder builder;
  Platform::MapDecoder decoder;
  const auto decode = [&] {
    return decoder.decode(
      builder.snapshot, kAgentPort, nullptr, Core::TimePoint(1s));
  };
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  CHECK(decode().map->acceptingCount() == 1);
  builder.put("servers/i-2", serverEntry("blue", "10.0.0.2:8080"));
  const auto decoded = decode();
  CHECK(decoded.map->acceptingCount() == 2);
  CHECK(decoded.map->routeCount() == 2);
  CHECK(decoded.map->version() == 7);
  builder.put("op/config",
              R"({"version":8,"routes":[],"services":[{"name":"red"}]})");
  CHECK(decode().map->version() == 8);
  CHECK(decode().map->routeCount() == 0);
  CHECK(decode().errors.size() == 1);
  builder.put("op/config", "{");
  CHECK(decode().map == nullptr);
}

TEST_CASE("there is no map without a valid configuration")
{
  SnapshotBuilder builder;
  builder.erase("op/config");
  CHECK(builder.decode().map == nullptr);
  builder.put("op/config", "{");
  CHECK(builder.decode().map == nullptr);
}

TEST_CASE(
  "a target that is held back after a restore may own flows but gets no "
  "new ones")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  builder.erase("servers/i-1");
  builder.snapshot.replace(
    { { "op/config", kConfiguration, { 2, 1 }, false },
      { "servers/i-1", serverEntry("red", "10.0.0.1:8080"), { 2, 2 }, false } },
    { 2, 2 },
    {});
  const auto decoded = builder.decode();
  const auto* target = decoded.map->findTarget(agentEndpoint("10.0.0.1"));
  REQUIRE(target != nullptr);
  CHECK_FALSE(target->acceptsNewFlows(Core::TimePoint(1s)));
}

// Guards against new flows in a zone that the operator has evacuated.
TEST_CASE("an evacuation marks all targets of its zone until it is removed")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  builder.put("servers/i-2", serverEntry("blue", "10.0.0.2:8080"));
  const auto before = builder.decode();
  builder.put("op/evacuate/z1", "{}");
  builder.erase("servers/i-2");
  const auto decoded = builder.decode(before.map);
  CHECK(decoded.errors.empty());
  REQUIRE(decoded.map->evacuatedZones().size() == 1);
  CHECK(decoded.map->evacuatedZones()[0].zone == "z1");
  CHECK(decoded.map->evacuatedZones()[0].since ==
        Steering::MapRevision{ 1, 4 });
  for (const auto* address : { "10.0.0.1", "10.0.0.2" }) {
    CHECK(decoded.map->findTarget(agentEndpoint(address))->isZoneEvacuated);
  }
  builder.erase("op/evacuate/z1");
  const auto after = builder.decode(decoded.map);
  CHECK(after.map->evacuatedZones().empty());
  CHECK_FALSE(
    after.map->findTarget(agentEndpoint("10.0.0.2"))->isZoneEvacuated);
}

// A mistyped name must not go unnoticed, and must not affect other zones.
TEST_CASE("an evacuation of no zone with targets is reported and ignored")
{
  SnapshotBuilder builder;
  builder.put("servers/i-1", serverEntry("red", "10.0.0.1:8080"));
  for (const auto* key :
       { "op/evacuate/", "op/evacuate/z1/a", "op/evacuate/z9" }) {
    builder.put(key, "{}");
    const auto decoded = builder.decode();
    REQUIRE(decoded.errors.size() == 1);
    CHECK(decoded.errors[0].find(key) == 0);
    CHECK(decoded.map->evacuatedZones().empty());
    CHECK(decoded.map->acceptingCount() == 1);
    builder.erase(key);
  }
}

TEST_CASE("cold targets get the limit of their service and the bounds")
{
  SnapshotBuilder builder;
  const auto target =
    [&builder](const std::string& aRate,
               const std::string& aFields,
               Platform::SlowStartBounds aBounds = { 1.5, 5 },
               Core::TimePoint aNow = Core::TimePoint(1s),
               const Steering::FleetMapPointer& aPrevious = {}) {
      builder.put("op/config",
                  R"({"version":7,"services":[{"name":"red")" + aRate + "}]}");
      builder.put("servers/i-1",
                  R"({"service":"red","zone":"z1","state":"ready",
      "address":"10.0.0.1:8080","maxConcurrency":7)" +
                    aFields + "}");
      const auto map = Platform::decodeMap(
                         builder.snapshot, kAgentPort, aPrevious, aNow, aBounds)
                         .map;
      return std::pair(*map->findTarget(agentEndpoint("10.0.0.1")), map);
    };
  const std::string cold = R"(,"warmupLeftMs":8000,"born":5)";
  const std::string rate = R"(,"warmupPerS":12.5)";
  CHECK(target(rate, cold).first.slowStartLimit == 23);
  CHECK(target(rate, cold, {}).first.slowStartLimit == 12);
  CHECK(target(R"(,"warmupPerS":1e9)", cold).first.slowStartLimit == 65'535);
  CHECK(target(R"(,"warmupPerS":0.5)", cold, {}).first.slowStartLimit == 1);
  // Guards against a limit that the configuration does not ask for.
  CHECK(target("", cold).first.slowStartLimit == 0);
  CHECK(target(R"(,"warmupPerS":0)", cold).first.slowStartLimit == 0);
  CHECK(target(R"(,"warmupPerS":"9")", cold).first.slowStartLimit == 0);
  CHECK(target(rate, R"(,"born":5)").first.slowStartLimit == 0);

  // Guards against a slow start that each change in the store prolongs.
  const auto [first, map] = target(rate, cold);
  CHECK(first.slowStartUntil == Core::TimePoint(9s));
  const Core::TimePoint later(4s);
  CHECK(target(rate, cold, {}, later, map).first.slowStartUntil ==
        first.slowStartUntil);
  CHECK(target(rate, R"(,"warmupLeftMs":8000,"born":6)", {}, later, map)
          .first.slowStartUntil == later + 8s);
}
