#include "storefixture.h"

#include "platform/peerserver.h"
#include "platform/storeclient.h"
#include "platform/storesnapshot.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <map>

namespace {

using namespace std::chrono_literals;
using namespace PlatformTesting;
using Platform::HeldBackItem;
using Platform::StoreItem;
using Platform::StoreSnapshot;
using Steering::MapRevision;

const Core::TimePoint kStart(100s);
constexpr const char* kServerB = "servers/b";
/** A change has to take effect within this time. */
constexpr std::chrono::seconds kEffectTime{ 3 };

StoreItem
item(const std::string& aKey,
     const std::string& aValue,
     const MapRevision& aRevision)
{
  return { aKey, aValue, aRevision, false };
}

/** What the copy contains: server b had left before the restore. */
std::vector<StoreItem>
copyOfStore(std::uint32_t aEra)
{
  return { item("op/config", configurationText(1), { aEra, 10 }),
           item("servers/a", announcementText("10.0.0.1"), { aEra, 11 }),
           item(kServerB, announcementText("10.0.0.2"), { aEra, 12 }) };
}

/** A process that saw server b leave, and noticed a restore at aRestoredAt. */
StoreSnapshot
holdingSnapshot(Core::TimePoint aRestoredAt,
                const std::vector<StoreItem>& aCopy = copyOfStore(2),
                const MapRevision& aRevision = { 2, 15 })
{
  StoreSnapshot snapshot;
  snapshot.replace(copyOfStore(1), { 1, 20 }, aRestoredAt - 5s);
  snapshot.apply(
    { { kServerB, "", { 1, 21 }, true } }, { 1, 21 }, aRestoredAt - 4s);
  snapshot.replace(aCopy, aRevision, aRestoredAt);
  return snapshot;
}

/** What a process may know before it gets the answer of a peer in era 2. */
std::map<std::string, StoreSnapshot>
snapshotsBefore()
{
  std::map<std::string, StoreSnapshot> snapshots;
  snapshots["nothing"] = {};
  snapshots["the copy"].replace(copyOfStore(2), { 2, 14 }, kStart);
  auto& running = snapshots["server b runs"];
  running.replace(copyOfStore(1), { 1, 20 }, kStart);
  auto& gone = snapshots["server b has left"];
  gone = running;
  gone.apply({ { kServerB, "", { 1, 21 }, true } }, { 1, 21 }, kStart);
  snapshots["a restore that was noticed later"] =
    holdingSnapshot(kStart + 3s, copyOfStore(2), { 2, 14 });
  return snapshots;
}

std::vector<HeldBackItem>
heldBackItems(const StoreSnapshot& aSnapshot)
{
  std::vector<HeldBackItem> items;
  for (const auto& [key, held] : aSnapshot.heldBackItems()) {
    items.push_back(held);
  }
  return items;
}

std::vector<StoreItem>
itemsOf(const StoreSnapshot& aSnapshot)
{
  std::vector<StoreItem> items;
  for (const auto& [key, entry] : aSnapshot.items()) {
    items.push_back(entry);
  }
  return items;
}

/** Replaces a snapshot by what the peer sends. */
void
adopt(StoreSnapshot& aSnapshot,
      const StoreSnapshot& aPeer,
      Core::TimePoint aNow)
{
  CHECK(aSnapshot.replace(
    itemsOf(aPeer), aPeer.revision(), aNow, heldBackItems(aPeer)));
  aSnapshot.addRemoved(aPeer.removedItems(), aNow);
}

/** Merges what the peer sends. */
void
merge(StoreSnapshot& aSnapshot,
      const StoreSnapshot& aPeer,
      Core::TimePoint aNow)
{
  aSnapshot.mergeKnown(itemsOf(aPeer),
                       aPeer.removedItems(),
                       aPeer.revision(),
                       aNow,
                       heldBackItems(aPeer));
}

bool
isUsed(const StoreSnapshot& aSnapshot)
{
  return aSnapshot.find(kServerB) != nullptr;
}

/** Whether server b may have open flows, but gets no new ones. */
bool
isHeldBack(const StoreSnapshot& aSnapshot)
{
  return aSnapshot.heldBackItems().contains(kServerB) && !isUsed(aSnapshot);
}

/** Reads the answer of a peer that ends with the given fields. */
absl::StatusOr<Platform::StoreAnswer>
readAnswer(const std::string& aFields)
{
  const auto text = absl::StrCat(
    R"({"currentRev":15,"era":2,"items":[{"key":"op/config","value":"e30=",)",
    R"("era":2,"revision":10}],"removed":[])",
    aFields,
    "}");
  Telemetry::StatusPages pages;
  pages.extraPages.push_back({ Platform::kSnapshotPath, [&](const auto&) {
                                return std::string(text);
                              } });
  const auto endpoint = nextControlEndpoint();
  const auto server =
    Telemetry::StatusServer::start(endpoint, std::move(pages)).value();
  return Platform::StoreClient(endpoint).readPeer({}, 5s);
}

/** A peer that serves its snapshot. */
struct ServedPeer
{
  explicit ServedPeer(const StoreSnapshot& aSnapshot)
  {
    published.set(aSnapshot);
    server = Platform::startPeerServer(endpoint, published).value();
  }

  Core::Endpoint endpoint = nextControlEndpoint();
  Platform::PublishedSnapshot published;
  std::unique_ptr<Telemetry::StatusServer> server;
};

} // namespace

TEST_CASE("a process that starts with a peer's answer has the entries that the "
          "peer holds back, and uses them when the peer does")
{
  constexpr std::chrono::milliseconds kRemaining{ 1'500 };
  const Core::SystemClock clock;
  const auto releasedAt = clock.now() + kRemaining;
  const ServedPeer peer(
    holdingSnapshot(releasedAt - StoreSnapshot::kHoldBackTime));
  Standins::PlatformStore store;
  store.setAvailable(false);
  Follower newcomer(store.endpoint(), { peer.endpoint });
  newcomer.start();
  REQUIRE(waitFor([&] { return newcomer.version() == 1; }));
  CHECK(newcomer.accepts("10.0.0.1"));
  CHECK(newcomer.servesOpenFlows("10.0.0.2"));
  CHECK(waitFor([&] { return newcomer.accepts("10.0.0.2"); }));
  CHECK(clock.now() >= releasedAt);
  CHECK(clock.now() < releasedAt + kEffectTime);
}

TEST_CASE("a process that starts with the copy, and learns from a peer that is "
          "at the same revision, uses a held back entry when the peer does")
{
  constexpr std::chrono::milliseconds kRemaining{ 1'500 };
  Standins::PlatformStore store;
  store.setEra(2);
  for (const auto& entry : copyOfStore(2)) {
    store.put(entry.key, entry.value);
  }
  const auto copy = Platform::StoreClient(store.endpoint()).readAll("", 0, 5s);
  REQUIRE(copy.ok());
  const Core::SystemClock clock;
  const auto releasedAt = clock.now() + kRemaining;
  const auto snapshot = holdingSnapshot(
    releasedAt - StoreSnapshot::kHoldBackTime, copy->items, copy->revision);
  REQUIRE(isHeldBack(snapshot));
  const ServedPeer peer(snapshot);
  Follower newcomer(store.endpoint(), { peer.endpoint });
  newcomer.start();
  REQUIRE(waitFor([&] {
    const bool isHeld =
      newcomer.servesOpenFlows("10.0.0.2") && !newcomer.accepts("10.0.0.2");
    const bool isTooLate = clock.now() >= releasedAt;
    return isHeld || isTooLate;
  }));
  CHECK(waitFor([&] { return newcomer.accepts("10.0.0.2"); }));
  CHECK(clock.now() >= releasedAt);
  CHECK(clock.now() < releasedAt + kEffectTime);
}

TEST_CASE("a peer sends how long it holds an entry back")
{
  const Core::SystemClock clock;
  const auto releasedAt = clock.now() + 7s;
  const ServedPeer peer(
    holdingSnapshot(releasedAt - StoreSnapshot::kHoldBackTime));
  const auto requestedAt = clock.now();
  const auto answer = Platform::StoreClient(peer.endpoint).readPeer({}, 5s);
  const auto requestTime = clock.now() - requestedAt;
  REQUIRE(answer.ok());
  REQUIRE(answer->heldBack.size() == 1);
  const auto& held = answer->heldBack.front();
  CHECK(held.item.key == kServerB);
  CHECK(held.item.value == announcementText("10.0.0.2"));
  CHECK(held.item.revision == MapRevision{ 2, 12 });
  CHECK(held.until >= releasedAt);
  CHECK(held.until <= releasedAt + requestTime + 1ms);
}

TEST_CASE("an answer with invalid held back items is refused")
{
  constexpr const char* kItem =
    R"("key":"servers/b","value":"e30=","era":2,"revision":12)";
  const auto isRefused = [](const std::string& aHeldBack) {
    const auto status =
      readAnswer(absl::StrCat(R"(,"heldBack":)", aHeldBack)).status();
    return absl::IsDataLoss(status) &&
           absl::StrContains(status.message(), "heldBack");
  };
  const auto withRemaining = [=](const std::string& aRemaining) {
    return absl::StrCat("[{", kItem, ",\"remainingMs\":", aRemaining, "}]");
  };
  for (const auto* text : { "0", "9999", "10000" }) {
    CAPTURE(text);
    CHECK(
      readAnswer(absl::StrCat(R"(,"heldBack":)", withRemaining(text))).ok());
  }
  for (const auto* text :
       { "10001", "-1", "1.5", "\"7\"", "null", "1e300", "[]" }) {
    CAPTURE(text);
    CHECK(isRefused(withRemaining(text)));
  }
  CHECK(isRefused(absl::StrCat("[{", kItem, "}]")));
  CHECK(isRefused(
    absl::StrCat("[{", kItem, R"(,"remainingMs":5,"deleted":true}])")));
  for (const auto* text :
       { "null",
         "7",
         "{}",
         "[7]",
         R"([{"value":"e30=","remainingMs":5}])",
         R"([{"key":"servers/b","value":"?","remainingMs":5}])" }) {
    CAPTURE(text);
    CHECK(isRefused(text));
  }
}

TEST_CASE("an answer without held back items or with unknown fields is read")
{
  for (const auto* text :
       { "", R"(,"heldBack":[])", R"(,"addedLater":{"a":1})" }) {
    CAPTURE(text);
    const auto answer = readAnswer(text);
    REQUIRE(answer.ok());
    CHECK(answer->items.size() == 1);
    CHECK(answer->heldBack.empty());
  }
}

TEST_CASE("an entry that a peer holds back is used when the peer uses it")
{
  for (const auto& before : snapshotsBefore()) {
    CAPTURE(before.first);
    auto peer = holdingSnapshot(kStart);
    const auto releasedAt = kStart + StoreSnapshot::kHoldBackTime;
    const auto now = kStart + 7s;
    auto snapshot = before.second;
    adopt(snapshot, peer, now);
    CHECK(isHeldBack(snapshot));
    CHECK(snapshot.isReconciling(now));
    REQUIRE(snapshot.nextExpiry().has_value());
    CHECK(*snapshot.nextExpiry() == releasedAt);
    CHECK_FALSE(snapshot.expire(releasedAt - 1ms));
    CHECK(isHeldBack(snapshot));
    CHECK(snapshot.expire(releasedAt));
    CHECK(peer.expire(releasedAt));
    CHECK(isUsed(snapshot));
    CHECK(isUsed(peer));
    CHECK(snapshot.heldBackItems().empty());
  }
}

TEST_CASE("an entry that a peer holds back stays so when the store is read")
{
  for (const auto& before : snapshotsBefore()) {
    CAPTURE(before.first);
    const auto releasedAt = kStart + StoreSnapshot::kHoldBackTime;
    auto snapshot = before.second;
    adopt(snapshot, holdingSnapshot(kStart), kStart + 7s);
    CHECK(snapshot.replace(copyOfStore(2), { 2, 15 }, releasedAt - 1ms));
    CHECK(isHeldBack(snapshot));
    CHECK(snapshot.expire(releasedAt));
    CHECK(isUsed(snapshot));
    CHECK(snapshot.replace(copyOfStore(2), { 2, 15 }, releasedAt));
    CHECK(isUsed(snapshot));
  }
}

TEST_CASE("an entry that a peer holds back is used when it is written, and "
          "forgotten when it is removed")
{
  for (const auto& before : snapshotsBefore()) {
    CAPTURE(before.first);
    const auto now = kStart + 7s;
    auto snapshot = before.second;
    adopt(snapshot, holdingSnapshot(kStart), now);
    auto other = snapshot;
    CHECK(snapshot.apply(
      { item(kServerB, announcementText("10.0.0.2"), { 2, 16 }) },
      { 2, 16 },
      now));
    CHECK(isUsed(snapshot));
    CHECK_FALSE(snapshot.nextExpiry().has_value());
    other.apply({ { kServerB, "", { 2, 16 }, true } }, { 2, 16 }, now);
    CHECK_FALSE(other.expire(now + 1h));
    CHECK_FALSE(isUsed(other));
  }
}

TEST_CASE("a chain of starts does not extend the time for which an entry is "
          "held back")
{
  const auto releasedAt = kStart + StoreSnapshot::kHoldBackTime;
  auto last = holdingSnapshot(kStart);
  for (auto now = kStart + 1s; now < kStart + 30s; now += 1s) {
    CAPTURE((now - kStart) / 1s);
    last.expire(now);
    StoreSnapshot newcomer;
    adopt(newcomer, last, now);
    newcomer.expire(now);
    CHECK(isHeldBack(newcomer) == (now < releasedAt));
    CHECK(isUsed(newcomer) == (now >= releasedAt));
    last = newcomer;
  }
}

TEST_CASE("what peers knew is merged with the time for which they hold back")
{
  const auto now = kStart + 7s;
  const auto releasedAt = kStart + StoreSnapshot::kHoldBackTime;
  const auto holding = holdingSnapshot(kStart);
  const auto later = holdingSnapshot(kStart + 3s);
  StoreSnapshot unaware;
  unaware.replace(copyOfStore(1), { 1, 20 }, kStart);
  unaware.apply({ { kServerB, "", { 1, 21 }, true } }, { 1, 21 }, kStart);
  const std::vector<std::vector<StoreSnapshot>> orders{
    { holding },          { later, holding },   { holding, later },
    { unaware, holding }, { holding, unaware }, { later, unaware, holding }
  };
  for (std::size_t i = 0; i < orders.size(); ++i) {
    CAPTURE(i);
    StoreSnapshot snapshot;
    snapshot.replace(copyOfStore(2), { 2, 15 }, now);
    REQUIRE(isUsed(snapshot));
    for (const auto& peer : orders[i]) {
      merge(snapshot, peer, now);
    }
    CHECK(isHeldBack(snapshot));
    CHECK_FALSE(snapshot.expire(releasedAt - 1ms));
    CHECK(isHeldBack(snapshot));
    CHECK(snapshot.expire(releasedAt));
    CHECK(isUsed(snapshot));
    merge(snapshot, later, releasedAt);
    CHECK(isUsed(snapshot));
    CHECK(snapshot.heldBackItems().empty());
  }
}

TEST_CASE("an entry that was written since, or is gone, is not held back "
          "because a peer that is behind holds it back")
{
  const auto now = kStart + 1s;
  StoreSnapshot snapshot;
  snapshot.replace(copyOfStore(2), { 2, 15 }, now);
  SUBCASE("written")
  {
    snapshot.apply({ item(kServerB, announcementText("10.0.0.2"), { 2, 16 }) },
                   { 2, 16 },
                   now);
    merge(snapshot, holdingSnapshot(kStart), now);
    CHECK(isUsed(snapshot));
  }
  SUBCASE("gone")
  {
    snapshot.apply({ { kServerB, "", { 2, 16 }, true } }, { 2, 16 }, now);
    merge(snapshot, holdingSnapshot(kStart), now);
    snapshot.expire(now + 1h);
    CHECK_FALSE(isUsed(snapshot));
  }
  CHECK(snapshot.heldBackItems().empty());
}

TEST_CASE("a chain of starts with the copy does not extend the time either")
{
  const auto releasedAt = kStart + StoreSnapshot::kHoldBackTime;
  auto last = holdingSnapshot(kStart);
  for (auto now = kStart + 1s; now < kStart + 30s; now += 1s) {
    CAPTURE((now - kStart) / 1s);
    last.expire(now);
    StoreSnapshot newcomer;
    newcomer.replace(copyOfStore(2), { 2, 15 }, now);
    merge(newcomer, last, now);
    newcomer.expire(now);
    CHECK(isHeldBack(newcomer) == (now < releasedAt));
    CHECK(isUsed(newcomer) == (now >= releasedAt));
    last = newcomer;
  }
}

TEST_CASE("a process does not hold an entry back again because a peer noticed "
          "the restore later")
{
  auto snapshot = holdingSnapshot(kStart);
  const auto peer = holdingSnapshot(kStart + 3s);
  const auto now = kStart + StoreSnapshot::kHoldBackTime;
  REQUIRE(snapshot.expire(now));
  adopt(snapshot, peer, now);
  CHECK(isUsed(snapshot));
  CHECK(snapshot.heldBackItems().empty());
}

TEST_CASE("an answer that has an entry twice does not bring it into use")
{
  const auto peer = holdingSnapshot(kStart);
  StoreSnapshot snapshot;
  snapshot.replace(copyOfStore(2), { 2, 15 }, kStart + 1s, heldBackItems(peer));
  CHECK(isHeldBack(snapshot));
}
