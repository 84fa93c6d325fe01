#include "storefixture.h"

#include "platform/announcement.h"
#include "platform/storesnapshot.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace {

using namespace std::chrono_literals;
using Platform::StoreItem;
using Platform::StoreSnapshot;
using PlatformTesting::announcementText;
using PlatformTesting::configurationText;
using Steering::MapRevision;

const Core::TimePoint kStart(100s);
constexpr const char* kConfigurationKey = "op/config";

StoreItem
configuration(unsigned aVersion, const MapRevision& aRevision)
{
  return { kConfigurationKey, configurationText(aVersion), aRevision, false };
}

StoreItem
server(const std::string& aName,
       const MapRevision& aRevision,
       const std::string& aState = "ready",
       unsigned aStartedAt = 1'000)
{
  return { "servers/" + aName,
           announcementText("10.0.0.1", aState, aStartedAt),
           aRevision,
           false };
}

StoreItem
removal(const std::string& aName, const MapRevision& aRevision)
{
  return { "servers/" + aName, "", aRevision, true };
}

bool
isReady(const StoreSnapshot& aSnapshot, const std::string& aName)
{
  const auto* item = aSnapshot.find("servers/" + aName);
  return item != nullptr && item->value.find("\"ready\"") != std::string::npos;
}

/** A snapshot of era 1 with the configuration 5 and the servers a and b. */
struct Fixture
{
  Fixture()
  {
    snapshot.replace(
      { configuration(5, { 1, 10 }), server("a", { 1, 11 }), serverB() },
      { 1, 20 },
      now);
  }

  static StoreItem serverB() { return server("b", { 1, 12 }); }

  /** Items of the copy get the era of the restored store. */
  void restore(std::vector<StoreItem> aItems, std::uint64_t aChange = 15)
  {
    for (auto& item : aItems) {
      item.revision.era = 2;
    }
    CHECK(snapshot.replace(aItems, { 2, aChange }, now));
  }

  Core::TimePoint now = kStart;
  StoreSnapshot snapshot;
};

} // namespace

TEST_CASE("revisions are ordered by era first and survive a text round trip")
{
  CHECK(MapRevision{ 2, 5 } > MapRevision{ 1, 900 });
  CHECK(MapRevision{ 2, 6 } > MapRevision{ 2, 5 });
  CHECK(Steering::formatMapRevision({ 2, 1205 }) == "2:1205");
  CHECK(Steering::parseMapRevision("2:1205") == MapRevision{ 2, 1205 });
  for (const auto* text : { "", "7", "x:1", "1:x", "1:2:3", "-1:2" }) {
    CHECK_FALSE(Steering::parseMapRevision(text).has_value());
  }
}

TEST_CASE("events are applied once and outdated events are ignored")
{
  StoreSnapshot snapshot;
  CHECK(snapshot.replace({ { "a", "1", { 1, 5 }, false } }, { 1, 6 }, kStart));
  CHECK(snapshot.apply(
    { { "a", "2", { 1, 7 }, false }, { "b", "1", { 1, 8 }, false } },
    { 1, 8 },
    kStart));
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.revision() == MapRevision{ 1, 8 });
  CHECK_FALSE(
    snapshot.apply({ { "a", "1", { 1, 5 }, false } }, { 1, 8 }, kStart));
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.apply({ { "a", "", { 1, 9 }, true } }, { 1, 9 }, kStart));
  CHECK(snapshot.find("a") == nullptr);
}

TEST_CASE("an older answer does not replace a newer snapshot")
{
  StoreSnapshot snapshot;
  snapshot.replace({ { "a", "2", { 2, 9 }, false } }, { 2, 9 }, kStart);
  SUBCASE("of the same era")
  {
    CHECK_FALSE(
      snapshot.replace({ { "a", "1", { 2, 5 }, false } }, { 2, 8 }, kStart));
  }
  SUBCASE("of an earlier era")
  {
    CHECK_FALSE(
      snapshot.replace({ { "a", "1", { 1, 90 }, false } }, { 1, 99 }, kStart));
  }
  CHECK(snapshot.find("a")->value == "2");
  CHECK(snapshot.replace({}, { 2, 10 }, kStart));
  CHECK(snapshot.find("a") == nullptr);
}

TEST_CASE("a restored store does not bring back an older configuration")
{
  Fixture f;
  f.restore({ configuration(4, { 1, 9 }), server("a", { 1, 11 }) });
  CHECK(f.snapshot.revision() == MapRevision{ 2, 15 });
  CHECK(f.snapshot.find(kConfigurationKey)->value == configurationText(5));
  CHECK(f.snapshot.isReconciling(f.now + 1h));
  SUBCASE("nor does an event with an older version")
  {
    CHECK_FALSE(
      f.snapshot.apply({ configuration(4, { 2, 16 }) }, { 2, 16 }, f.now));
    CHECK(f.snapshot.find(kConfigurationKey)->value == configurationText(5));
  }
  SUBCASE("the operator's next configuration of the same version is used")
  {
    auto item = configuration(5, { 2, 16 });
    item.value = configurationText(5, "other");
    CHECK(f.snapshot.apply({ item }, { 2, 16 }, f.now));
    CHECK(f.snapshot.find(kConfigurationKey)->value == item.value);
    CHECK_FALSE(f.snapshot.isReconciling(f.now + 1h));
  }
  SUBCASE("a copy without any configuration changes nothing")
  {
    CHECK(f.snapshot.replace({}, { 3, 2 }, f.now));
    CHECK(f.snapshot.find(kConfigurationKey)->value == configurationText(5));
  }
}

TEST_CASE("an unreadable configuration of a copy is not used")
{
  Fixture f;
  f.restore({ { kConfigurationKey, "{", { 1, 9 }, false } });
  CHECK(f.snapshot.find(kConfigurationKey)->value == configurationText(5));
}

TEST_CASE("a server that a copy lacks stays until living ones are announced")
{
  Fixture f;
  f.restore({ configuration(5, { 1, 10 }), server("a", { 1, 11 }) });
  CHECK(f.snapshot.keptCount() == 1);
  CHECK(f.snapshot.nextExpiry() == f.now + StoreSnapshot::kReannounceTime);
  CHECK_FALSE(f.snapshot.expire(f.now + 2s));
  CHECK(isReady(f.snapshot, "b"));
  SUBCASE("another read of the store within that time does not remove it")
  {
    f.now += 1s;
    f.restore({ configuration(5, { 1, 10 }), server("a", { 1, 11 }) });
    CHECK(isReady(f.snapshot, "b"));
  }
  SUBCASE("it is removed if it is not announced")
  {
    CHECK(f.snapshot.expire(kStart + StoreSnapshot::kReannounceTime));
    CHECK(f.snapshot.find("servers/b") == nullptr);
    CHECK(isReady(f.snapshot, "a"));
    CHECK(f.snapshot.nextExpiry() == std::nullopt);
  }
  SUBCASE("it stays if it is announced")
  {
    CHECK(f.snapshot.apply({ server("b", { 2, 16 }) }, { 2, 16 }, f.now));
    CHECK_FALSE(f.snapshot.expire(kStart + 1h));
    CHECK(isReady(f.snapshot, "b"));
  }
}

TEST_CASE("a draining server is not ready again in a copy")
{
  Fixture f;
  f.snapshot.apply({ server("b", { 1, 21 }, "draining") }, { 1, 21 }, f.now);
  SUBCASE("of the same start")
  {
    f.restore({ configuration(5, { 1, 10 }), Fixture::serverB() });
    CHECK_FALSE(isReady(f.snapshot, "b"));
    CHECK_FALSE(f.snapshot.expire(f.now + 2s));
    CHECK(f.snapshot.find("servers/b") != nullptr);
  }
  SUBCASE("of an earlier start")
  {
    f.restore({ server("b", { 1, 12 }, "ready", 900) });
    CHECK_FALSE(isReady(f.snapshot, "b"));
  }
  SUBCASE("but it is after a later start")
  {
    f.restore({ server("b", { 1, 12 }, "ready", 1'100) });
    CHECK(isReady(f.snapshot, "b"));
  }
}

TEST_CASE("a server that had left is not used because a copy contains it")
{
  Fixture f;
  f.snapshot.apply({ removal("b", { 1, 21 }) }, { 1, 21 }, f.now);
  f.restore({ configuration(5, { 1, 10 }),
              server("a", { 1, 11 }),
              Fixture::serverB() });
  CHECK(f.snapshot.find("servers/b") == nullptr);
  CHECK(f.snapshot.heldBackItems().size() == 1);
  SUBCASE("and is forgotten when the store removes it")
  {
    f.snapshot.apply({ removal("b", { 2, 16 }) }, { 2, 16 }, f.now);
    CHECK_FALSE(f.snapshot.expire(f.now + 1h));
    CHECK(f.snapshot.find("servers/b") == nullptr);
  }
  SUBCASE("but it is used when it announces itself again")
  {
    CHECK(f.snapshot.apply({ server("b", { 2, 16 }) }, { 2, 16 }, f.now));
    CHECK(isReady(f.snapshot, "b"));
  }
  SUBCASE("and when its announcement outlives that of a dead server")
  {
    CHECK_FALSE(f.snapshot.expire(f.now + 9s));
    CHECK(f.snapshot.expire(f.now + StoreSnapshot::kHoldBackTime));
    CHECK(isReady(f.snapshot, "b"));
  }
}

TEST_CASE("a process that knows only the copy learns the rest from a peer")
{
  Fixture f;
  f.snapshot.apply({ server("a", { 1, 21 }, "draining"),
                     server("c", { 1, 22 }),
                     removal("b", { 1, 23 }) },
                   { 1, 23 },
                   f.now);
  const std::vector<StoreItem> copy{ configuration(4, { 2, 9 }),
                                     server("a", { 2, 11 }),
                                     server("b", { 2, 12 }) };
  f.snapshot.replace(copy, { 2, 15 }, f.now);
  StoreSnapshot newcomer;
  newcomer.replace(copy, { 2, 15 }, f.now);
  REQUIRE(isReady(newcomer, "b"));
  std::vector<StoreItem> items;
  for (const auto& [key, item] : f.snapshot.items()) {
    items.push_back(item);
  }
  SUBCASE("that is at the same revision")
  {
    newcomer.mergeKnown(
      items, f.snapshot.removedItems(), f.snapshot.revision(), f.now);
  }
  SUBCASE("that is at a newer revision")
  {
    newcomer.replace(items, { 2, 16 }, f.now);
    newcomer.addRemoved(f.snapshot.removedItems(), f.now);
  }
  CHECK(newcomer.find(kConfigurationKey)->value == configurationText(5));
  CHECK_FALSE(isReady(newcomer, "a"));
  CHECK_FALSE(isReady(newcomer, "b"));
  CHECK(isReady(newcomer, "c"));
  newcomer.expire(f.now + StoreSnapshot::kReannounceTime);
  CHECK(newcomer.find("servers/c") == nullptr);
}

TEST_CASE("a peer that is behind does not affect later changes")
{
  Fixture f;
  f.restore({ configuration(5, { 1, 10 }), server("a", { 1, 11 }) });
  f.now += StoreSnapshot::kReannounceTime;
  f.snapshot.expire(f.now);
  StoreSnapshot newcomer;
  newcomer.replace({ configuration(5, { 2, 10 }),
                     server("a", { 2, 11 }),
                     server("b", { 2, 16 }) },
                   { 2, 16 },
                   f.now);
  newcomer.mergeKnown({ f.snapshot.items().begin()->second },
                      { Fixture::serverB() },
                      f.snapshot.revision(),
                      f.now);
  CHECK(isReady(newcomer, "b"));
}

TEST_CASE("random restores never bring back a configuration or a server that "
          "has left, and converge to the store")
{
  struct Server
  {
    bool isAnnounced = false;
    bool isDraining = false;
    bool hasLeft = false;
    unsigned startedAt = 0;
  };
  for (unsigned seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    Core::TimePoint now = kStart;
    std::vector<StoreItem> log;
    std::uint32_t era = 1;
    unsigned version = 1;
    std::vector<Server> servers(6);
    StoreSnapshot snapshot;
    const auto name = [](std::size_t aIndex) {
      return std::string(1, static_cast<char>('a' + aIndex));
    };
    const auto append = [&](StoreItem aItem) {
      aItem.revision = { era, log.size() + 1 };
      log.push_back(std::move(aItem));
    };
    const auto write = [&](std::size_t aIndex) {
      const auto& entry = servers[aIndex];
      append(entry.hasLeft ? removal(name(aIndex), {})
                           : server(name(aIndex),
                                    {},
                                    entry.isDraining ? "draining" : "ready",
                                    entry.startedAt));
    };
    const auto items = [&] {
      std::map<std::string, StoreItem> state;
      for (const auto& item : log) {
        state[item.key] = item;
      }
      std::vector<StoreItem> result;
      for (auto& [key, item] : state) {
        if (!item.isDeleted) {
          item.revision.era = era;
          result.push_back(item);
        }
      }
      return result;
    };
    const auto follow = [&] {
      const MapRevision revision{ era, log.size() };
      if (snapshot.revision().era != era) {
        snapshot.replace(items(), revision, now);
      } else {
        std::vector<StoreItem> events(
          log.begin() + static_cast<std::ptrdiff_t>(snapshot.revision().change),
          log.end());
        snapshot.apply(events, revision, now);
      }
      snapshot.expire(now);
    };
    append(configuration(version, {}));
    follow();
    for (int step = 0; step < 60; ++step) {
      now += std::chrono::milliseconds(random() % 400);
      const auto index = random() % servers.size();
      auto& entry = servers[index];
      switch (random() % 4) {
        case 0:
          append(configuration(++version, {}));
          break;
        case 1:
          entry = { true, false, false, entry.startedAt + 1'000 };
          write(index);
          break;
        case 2:
          if (entry.isAnnounced && !entry.hasLeft) {
            (entry.isDraining ? entry.hasLeft : entry.isDraining) = true;
            write(index);
          }
          break;
        default:
          break;
      }
      follow();
      if (random() % 12 == 0) {
        const auto lost = random() % std::min<std::size_t>(log.size(), 8);
        log.resize(log.size() - lost);
        ++era;
        follow();
        // The lost changes are written again, one after the other.
        for (std::size_t i = 0; i < servers.size(); ++i) {
          now += std::chrono::milliseconds(random() % 300);
          if (servers[i].isAnnounced) {
            write(i);
          }
          follow();
        }
        append(configuration(version, {}));
      }
      follow();
      CHECK(*Platform::parseConfigurationVersion(
              snapshot.find(kConfigurationKey)->value) == version);
      for (std::size_t i = 0; i < servers.size(); ++i) {
        const bool isUsable = servers[i].isAnnounced &&
                              !servers[i].isDraining && !servers[i].hasLeft;
        CHECK_FALSE((isReady(snapshot, name(i)) && !isUsable));
      }
    }
    now += 20s;
    follow();
    CHECK(snapshot.items().size() == items().size());
    for (const auto& item : items()) {
      REQUIRE(snapshot.find(item.key) != nullptr);
      CHECK(snapshot.find(item.key)->value == item.value);
    }
  }
}

namespace {

constexpr const char* kEvacuationKey = "op/evacuate/z1";

std::vector<StoreItem>
itemsOf(const StoreSnapshot& aSnapshot)
{
  std::vector<StoreItem> items;
  for (const auto& [key, item] : aSnapshot.items()) {
    items.push_back(item);
  }
  return items;
}

} // namespace

// Guards against new flows in the zone before the operator has written a lost
// evacuation again, and against a zone that is never taken back.
TEST_CASE("an evacuation that a restored store lacks stays in force for 10 s")
{
  Fixture f;
  f.snapshot.apply(
    { { kEvacuationKey, "{}", { 1, 21 }, false } }, { 1, 21 }, f.now);
  const std::vector<StoreItem> copy{ configuration(5, { 2, 10 }),
                                     server("a", { 2, 11 }),
                                     Fixture::serverB() };
  f.restore(copy);
  REQUIRE(f.snapshot.find(kEvacuationKey) != nullptr);
  CHECK(f.snapshot.nextExpiry() == f.now + 10s);
  SUBCASE("and ends if it is not written again")
  {
    CHECK_FALSE(f.snapshot.expire(f.now + 9'999ms));
    CHECK_FALSE(f.snapshot.expire(f.now + 10s, f.now + 9s));
    CHECK(f.snapshot.expire(f.now + 10s));
    CHECK(f.snapshot.find(kEvacuationKey) == nullptr);
    CHECK_FALSE(f.snapshot.nextExpiry().has_value());
  }
  SUBCASE("and longer if it is written again")
  {
    f.snapshot.apply(
      { { kEvacuationKey, "{}", { 2, 16 }, false } }, { 2, 16 }, f.now);
    CHECK_FALSE(f.snapshot.expire(f.now + 10s));
    CHECK(f.snapshot.find(kEvacuationKey) != nullptr);
  }
  SUBCASE("also when all items are read again, from the same time on")
  {
    f.now += 9s;
    f.restore(copy, 17);
    CHECK(f.snapshot.find(kEvacuationKey) != nullptr);
    CHECK(f.snapshot.expire(f.now + 1s));
  }
  SUBCASE("also at a process that learns it from a peer")
  {
    StoreSnapshot newcomer;
    newcomer.replace(copy, { 2, 15 }, f.now);
    SUBCASE("at the same revision")
    {
      newcomer.mergeKnown(
        itemsOf(f.snapshot), {}, f.snapshot.revision(), f.now);
    }
    SUBCASE("at a newer revision")
    {
      newcomer.replace(itemsOf(f.snapshot), { 2, 16 }, f.now);
    }
    CHECK(newcomer.find(kEvacuationKey) != nullptr);
    CHECK(newcomer.expire(f.now + 10s));
    CHECK(newcomer.find(kEvacuationKey) == nullptr);
  }
}

TEST_CASE("a removed evacuation that the copy contains is in force again")
{
  Fixture f;
  const StoreItem evacuation{ kEvacuationKey, "{}", { 1, 13 }, false };
  f.snapshot.apply(
    { { kEvacuationKey, "{}", { 1, 21 }, false } }, { 1, 21 }, f.now);
  f.snapshot.apply(
    { { kEvacuationKey, "", { 1, 22 }, true } }, { 1, 22 }, f.now);
  SUBCASE("until it is removed again")
  {
    f.restore({ configuration(5, { 1, 10 }),
                server("a", { 1, 11 }),
                Fixture::serverB(),
                evacuation });
    CHECK_FALSE(f.snapshot.expire(f.now + 11s));
    CHECK(f.snapshot.find(kEvacuationKey) != nullptr);
    f.snapshot.apply(
      { { kEvacuationKey, "", { 2, 16 }, true } }, { 2, 16 }, f.now);
    CHECK(f.snapshot.find(kEvacuationKey) == nullptr);
  }
  SUBCASE("but not if only a peer that missed the removal has it")
  {
    f.restore({ configuration(5, { 1, 10 }) });
    f.snapshot.mergeKnown({ evacuation }, {}, { 1, 21 }, f.now);
    CHECK(f.snapshot.find(kEvacuationKey) == nullptr);
  }
}
