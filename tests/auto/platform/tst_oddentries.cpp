#include "storefixture.h"

#include "platform/announcement.h"
#include "platform/mapdecoder.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <limits>
#include <random>

namespace {

using namespace std::chrono_literals;
using PlatformTesting::announcementText;
using PlatformTesting::configurationText;

constexpr std::uint16_t kAgentPort = 8172;

std::string
nested(std::size_t aDepth, const std::string& aInner = "1")
{
  return std::string(aDepth, '[') + aInner + std::string(aDepth, ']');
}

/** An announcement of 10.0.0.9 with one field replaced. */
std::string
announcementWith(const std::string& aField, const std::string& aValue)
{
  std::string text = R"({)";
  for (const auto& [field, value] :
       std::vector<std::pair<std::string, std::string>>{
         { "service", R"("red")" },
         { "address", R"("10.0.0.9:8080")" },
         { "zone", R"("z1")" },
         { "maxConcurrency", "4" },
         { "state", R"("ready")" },
         { "born", "1000" },
         { "warmupLeftMs", "0" } }) {
    absl::StrAppend(&text,
                    text.size() > 1 ? "," : "",
                    "\"",
                    field,
                    "\":",
                    field == aField ? aValue : value);
  }
  return text + "}";
}

Platform::DecodedMap
decode(const std::string& aConfiguration, const std::string& aOddEntry)
{
  const std::vector<Platform::StoreItem> items{
    { Platform::kConfigurationKey, aConfiguration, { 1, 1 }, false },
    { "servers/a", announcementText("10.0.0.1"), { 1, 2 }, false },
    { "servers/odd", aOddEntry, { 1, 3 }, false },
    { "servers/z", announcementText("10.0.0.2"), { 1, 4 }, false }
  };
  Platform::StoreSnapshot snapshot;
  snapshot.replace(items, { 1, 4 }, {});
  return Platform::decodeMap(snapshot, kAgentPort, nullptr, {});
}

bool
hasTarget(const Platform::DecodedMap& aDecoded, const std::string& aAddress)
{
  return aDecoded.map->findTarget(
           { *Core::parseAddress(aAddress), kAgentPort }) != nullptr;
}

/** Replaces, inserts or removes parts of a text. */
std::string
mutate(std::string aText, std::mt19937& aRandom)
{
  static const std::vector<std::string> sParts{
    "{",    "}",
    "[",    "]",
    "\"",   ":",
    ",",    "null",
    "true", "-1",
    "1e99", "18446744073709551615",
    "0.5",  "99999999999999999999999",
    "{}",   "[[]]",
    "\\u0", "\xff",
    "",     nested(1'200)
  };
  const auto count = 1 + aRandom() % 3;
  for (std::size_t i = 0; i < count; ++i) {
    const auto begin = aRandom() % (aText.size() + 1);
    const auto length =
      std::min<std::size_t>(aRandom() % 12, aText.size() - begin);
    aText.replace(begin, length, sParts[aRandom() % sParts.size()]);
  }
  return aText;
}

} // namespace

TEST_CASE("an odd announcement of another writer names no target and does not "
          "affect the others")
{
  std::string odd;
  SUBCASE("nested beyond the limit of the parser")
  {
    odd = nested(1'001);
  }
  SUBCASE("a field nested beyond the limit")
  {
    odd = announcementWith("labels", "0");
    odd.back() = ',';
    odd += "\"labels\":" + nested(100'000) + "}";
  }
  SUBCASE("more slots than 32 bits")
  {
    odd = announcementWith("maxConcurrency", "4294967296");
  }
  SUBCASE("more slots than an agent can be told")
  {
    odd = announcementWith("maxConcurrency", "65536");
  }
  SUBCASE("a number that no type holds")
  {
    odd = announcementWith("maxConcurrency", "1e400");
  }
  SUBCASE("a start in the far future")
  {
    odd = announcementWith("born", "18446744073709551615");
  }
  SUBCASE("a slow start that does not end")
  {
    odd = announcementWith("warmupLeftMs", "9223372036854775807");
  }
  SUBCASE("a port out of range")
  {
    odd = announcementWith("address", R"("10.0.0.9:65536")");
  }
  SUBCASE("a port that wraps around")
  {
    odd = announcementWith("address", R"("10.0.0.9:4294975376")");
  }
  SUBCASE("an address that is an object")
  {
    odd = announcementWith("address", R"({"ip":"10.0.0.9"})");
  }
  const auto decoded = decode(configurationText(1), odd);
  REQUIRE(decoded.map != nullptr);
  CHECK(hasTarget(decoded, "10.0.0.1"));
  CHECK(hasTarget(decoded, "10.0.0.2"));
  CHECK_FALSE(hasTarget(decoded, "10.0.0.9"));
  CHECK(decoded.errors.size() == 1);
}

TEST_CASE("odd elements of a configuration are skipped")
{
  std::string route;
  std::string service = "5";
  SUBCASE("a share that is no object")
  {
    route = R"({"name":"x","host":"198.18.0.2","prefix":"/443/",)"
            R"("type":"upload","trafficSplit":[7]})";
  }
  SUBCASE("a weight beyond 32 bits")
  {
    route = R"({"name":"x","host":"198.18.0.2","prefix":"/443/",)"
            R"("type":"upload","trafficSplit":[)"
            R"({"service":"red","weight":4294967296}]})";
  }
  SUBCASE("a port out of range")
  {
    route = R"({"name":"x","host":"198.18.0.2","prefix":"/65536/",)"
            R"("type":"upload","service":"red"})";
  }
  SUBCASE("a list of services that contains a list")
  {
    route = "[]";
    service = "[[]]";
  }
  const auto text = absl::StrCat(
    R"({"version":3,"routes":[)",
    route,
    R"(,{"name":"r","host":"198.18.0.1","prefix":"/443/","type":"upload",)",
    R"("service":"red"}],"services":[)",
    service,
    R"(,{"name":"red"}]})");
  const auto decoded = decode(text, announcementText("10.0.0.9"));
  REQUIRE(decoded.map != nullptr);
  CHECK(decoded.map->routeCount() == 1);
  CHECK(hasTarget(decoded, "10.0.0.1"));
  CHECK(decoded.errors.size() == 1);
}

TEST_CASE("times of a route that no type holds do not turn negative")
{
  const auto decoded =
    decode(R"({"version":3,"routes":[{"name":"r","host":"198.18.0.1",)"
           R"("prefix":"/443/","type":"upload","service":"red",)"
           R"("aimMs":18446744073709551615,"timeoutMs":9223372036854775807}],)"
           R"("services":[{"name":"red"}]})",
           announcementText("10.0.0.9"));
  REQUIRE(decoded.map != nullptr);
  const auto* route =
    decoded.map->findRoute(*Core::parseEndpoint("198.18.0.1:443"));
  REQUIRE(route != nullptr);
  CHECK(route->latencyObjective >= 0ms);
  CHECK(Core::TimePoint(1h) + route->timeout >= Core::TimePoint(1h));
}

TEST_CASE("no damaged entry ends the process or hides the others")
{
  constexpr unsigned kCount = 20'000;
  std::mt19937 random(40);
  for (unsigned i = 0; i < kCount; ++i) {
    CAPTURE(i);
    const auto announcement = mutate(announcementWith("", ""), random);
    const auto decoded = decode(configurationText(1), announcement);
    REQUIRE(decoded.map != nullptr);
    REQUIRE(hasTarget(decoded, "10.0.0.2"));
    const auto configuration = mutate(configurationText(1), random);
    REQUIRE_NOTHROW(decode(configuration, announcement));
  }
}

TEST_CASE("a process follows the store past an odd entry")
{
  Standins::PlatformStore store;
  store.put("op/config", configurationText(1));
  store.put("servers/a", announcementText("10.0.0.1"));
  store.put("servers/odd", nested(5'000));
  PlatformTesting::Follower follower(store.endpoint());
  follower.start();
  CHECK(PlatformTesting::waitFor([&] { return follower.version() == 1; }));
  store.put("servers/odd", announcementWith("labels", nested(5'000)));
  store.put("op/config", configurationText(2));
  CHECK(PlatformTesting::waitFor([&] { return follower.version() == 2; }));
  CHECK(follower.accepts("10.0.0.1"));
}
