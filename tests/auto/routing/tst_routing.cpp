#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "routing/flowhasher.h"
#include "routing/homeselector.h"
#include "routing/viewhistory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

using namespace Routing;

namespace {

std::vector<Config::Identity>
targets(std::size_t aCount)
{
  std::vector<Config::Identity> identities;
  for (std::size_t i = 0; i < aCount; ++i) {
    identities.push_back(Config::identityOf(absl::StrCat("target-", i)));
  }
  return identities;
}

/** Identity of the first home. */
Config::Identity
firstHome(const HomeSelector& aSelector,
          const std::vector<Config::Identity>& aTargets,
          std::uint64_t aHash)
{
  const auto homes = aSelector.homes(aHash);
  return aTargets[homes[0]];
}

FleetViewPointer
createView(std::uint64_t aRevision, const std::string& aDigest)
{
  auto document = std::make_shared<Config::Document>();
  document->revision = aRevision;
  document->digest = aDigest;
  return std::make_shared<FleetView>(document, Config::InstanceList{});
}

constexpr Core::TimePoint kStart{};

} // namespace

TEST_CASE("homes are distinct and do not depend on the order of targets")
{
  std::size_t count = 0;
  SUBCASE("few targets")
  {
    count = 7;
  }
  SUBCASE("many targets")
  {
    count = 40;
  }
  const auto identities = targets(count);
  auto reversed = identities;
  std::reverse(reversed.begin(), reversed.end());
  const HomeSelector selector(identities);
  const HomeSelector reversedSelector(reversed);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const auto flowHash = i * 0x9e3779b97f4a7c15;
    const auto homes = selector.homes(flowHash);
    REQUIRE(homes.size() == 3);
    CHECK(std::set(homes.begin(), homes.end()).size() == 3);
    CHECK(firstHome(selector, identities, flowHash) ==
          firstHome(reversedSelector, reversed, flowHash));
  }
}

TEST_CASE("adding a target only moves flows to the new target")
{
  // Few targets are ranked, many use a ring.
  std::size_t count = 0;
  SUBCASE("few targets")
  {
    count = 7;
  }
  SUBCASE("many targets")
  {
    count = 20;
  }
  const auto before = targets(count);
  const auto after = targets(count + 1);
  const HomeSelector selectorBefore(before);
  const HomeSelector selectorAfter(after);
  int moved = 0;
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    const auto flowHash = i * 0x9e3779b97f4a7c15;
    const auto oldHome = firstHome(selectorBefore, before, flowHash);
    const auto newHome = firstHome(selectorAfter, after, flowHash);
    if (oldHome != newHome) {
      ++moved;
      CHECK(newHome == after.back());
    }
  }
  CHECK(moved > 0);
}

TEST_CASE("a home has at most seven distinct peers and is not one of them")
{
  for (const std::size_t count : { 1, 2, 3, 7, 8, 9, 50, 300 }) {
    const HomeSelector selector(targets(count));
    for (std::uint32_t home = 0; home < count; ++home) {
      const auto peers = selector.peers(home);
      CHECK(peers.size() == std::min<std::size_t>(count - 1, 7));
      CHECK(std::set(peers.begin(), peers.end()).size() == peers.size());
      CHECK(std::count(peers.begin(), peers.end(), home) == 0);
    }
  }
}

TEST_CASE("homes are distributed evenly over the targets")
{
  for (const std::size_t count : { 7, 40 }) {
    const HomeSelector selector(targets(count));
    std::vector<int> flows(count, 0);
    constexpr int kFlowCount = 40'000;
    for (std::uint64_t i = 0; i < kFlowCount; ++i) {
      ++flows[selector.homes(i * 0x9e3779b97f4a7c15)[0]];
    }
    const auto mean = kFlowCount / static_cast<int>(count);
    CHECK(*std::max_element(flows.begin(), flows.end()) < 2 * mean);
    CHECK(*std::min_element(flows.begin(), flows.end()) > mean / 3);
  }
}

TEST_CASE("there are no homes without targets")
{
  CHECK(HomeSelector({}).homes(5).empty());
}

TEST_CASE("the flow hash depends on the key, the ports and the protocol")
{
  Config::FlowHashKey key{};
  const FlowHasher hasher(key);
  key[3] = 1;
  const FlowHasher otherHasher(key);
  Packet::FlowKey flow{ { 1, 2 }, { 3, 4 }, Packet::Protocol::Tcp };
  const auto flowHash = hasher.hash(flow);
  CHECK(flowHash != otherHasher.hash(flow));
  for (auto* port : { &flow.caller.port, &flow.service.port }) {
    ++*port;
    CHECK(hasher.hash(flow) != flowHash);
    --*port;
  }
  flow.protocol = Packet::Protocol::Udp;
  CHECK(hasher.hash(flow) != flowHash);
}

TEST_CASE("a view is not replaced by an older or conflicting one")
{
  ViewHistory history;
  REQUIRE(history.activate(createView(5, "a"), kStart).ok());
  CHECK_FALSE(history.activate(createView(4, "a"), kStart).ok());
  CHECK_FALSE(history.activate(createView(5, "b"), kStart).ok());
  CHECK(history.current()->revision() == 5);
  CHECK(history.current()->document().digest == "a");
  REQUIRE(
    history
      .activate(createView(6, "b"), kStart, ViewHistory::PreviousView::Keep)
      .ok());
  CHECK(history.previous().size() == 1);
}

TEST_CASE("a previous view is kept while it is in use")
{
  ViewHistory history;
  REQUIRE(history.activate(createView(1, "a"), kStart).ok());
  REQUIRE(
    history
      .activate(createView(2, "b"), kStart, ViewHistory::PreviousView::Keep)
      .ok());
  const auto late = kStart + std::chrono::hours(1);
  history.discardReplacedBefore(late, [](const FleetView&) { return true; });
  CHECK(history.previous().size() == 1);
  history.discardReplacedBefore(kStart, [](const FleetView&) { return false; });
  CHECK(history.previous().size() == 1);
  history.discardReplacedBefore(late, [](const FleetView&) { return false; });
  CHECK(history.previous().empty());
}

// A service with one target left in service must not refuse flows at once.
TEST_CASE("a service is evacuated only if the zones of all its targets are")
{
  auto document = std::make_shared<Config::Document>();
  document->services.resize(2);
  document->services[1].identity = 1;
  for (const auto* zone : { "a", "b" }) {
    Config::Target target;
    target.name = zone;
    target.identity = Config::identityOf(zone);
    target.zone = zone;
    document->services[0].targets.push_back(target);
  }
  document->evacuatedZones = { { "a", 1 } };
  const FleetView oneZone(document, {});
  CHECK_FALSE(oneZone.findTarget(Config::identityOf("a"))->acceptsNewFlows());
  CHECK(oneZone.findTarget(Config::identityOf("b"))->acceptsNewFlows());
  CHECK_FALSE(oneZone.services()[0].isEvacuated);
  document->evacuatedZones.push_back({ "b", 1 });
  const FleetView bothZones(document, {});
  CHECK(bothZones.services()[0].isEvacuated);
  CHECK_FALSE(bothZones.services()[1].isEvacuated);
}
