#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "compression/textcodec.h"
#include "control/peerchoice.h"
#include "control/viewstore.h"
#include "messages/peermessages.pb.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <fstream>
#include <random>
#include <set>
#include <sstream>

using namespace Compression;
using namespace Control;

namespace {

Telemetry::EventLog&
quietLog()
{
  static Telemetry::EventLog sLog({ "test", "off", false });
  return sLog;
}

/** The Stalbo document under a revision, with a mark that changes it. */
std::string
document(std::uint64_t aRevision, const std::string& aMark = "")
{
  std::stringstream text;
  text << std::ifstream(std::string(EXAMPLES_FOLDER) + "/stalbo/document.json")
            .rdbuf();
  return absl::StrReplaceAll(
           text.str(),
           { { "\"revision\": 1",
               absl::StrCat("\"revision\": ", aRevision) } }) +
         (aMark.empty() ? "" : "// " + aMark + "\n");
}

/** One exchange: aAsker asks aAnswerer. */
absl::Status
exchange(ViewStore& aAsker, const ViewStore& aAnswerer)
{
  const auto state = aAsker.state();
  Messages::ViewRequest request;
  request.set_revision(state.revision);
  request.set_digest(state.digest);
  request.set_list_index(state.listIndex);
  request.set_list_digest(state.listDigest);
  return aAsker.accept(aAnswerer.answer(request));
}

Config::InstanceList
fleet(std::size_t aCount, std::size_t aZones)
{
  Config::InstanceList list;
  for (std::size_t i = 0; i < aCount; ++i) {
    Config::Instance instance;
    instance.name = absl::StrCat("i", i);
    instance.zone = absl::StrCat("z", i % aZones);
    instance.control = { static_cast<std::uint32_t>(i + 1), 1 };
    list.instances.push_back(instance);
  }
  return list;
}

} // namespace

TEST_CASE("a text comes back from its compressed form and its difference")
{
  const auto before = document(1);
  const auto after = document(2, "x");
  const auto whole = compressText(after);
  const auto difference = compressText(after, before);
  REQUIRE(whole.ok());
  REQUIRE(difference.ok());
  CHECK(difference->size() < whole->size() / 4);
  CHECK(*decompressText(*whole) == after);
  CHECK(*decompressText(*difference, before) == after);
  CHECK_FALSE(decompressText("not a frame").ok());
}

TEST_CASE("a compressed document comes into force with the plain text's digest")
{
  ViewStore store(quietLog());
  const auto text = document(3);
  REQUIRE(store.offerDocument(*compressText(text), "t").ok());
  CHECK(store.state().revision == 3);
  CHECK(store.state().digest == Config::digestOf(text));
  CHECK_FALSE(store.offerDocument("\x28\xb5\x2f\xfd cut", "t").ok());
}

TEST_CASE("an instance list goes on as a difference")
{
  const auto list = [](const char* aState) {
    std::string text = "{\"instances\":[";
    for (int i = 0; i < 200; ++i) {
      absl::StrAppend(&text,
                      i == 0 ? "" : ",",
                      "{\"name\":\"t",
                      i,
                      "\",\"role\":\"target\",\"zone\":\"z\",\"data\":"
                      "\"127.0.0.1:1\",\"control\":\"127.0.0.1:2\","
                      "\"state\":\"",
                      i == 7 ? aState : "live",
                      "\"}");
    }
    return text + "]}";
  };
  ViewStore source(quietLog());
  ViewStore peer(quietLog());
  REQUIRE(source.offerInstanceList(list("live"), 1, "t").ok());
  REQUIRE(exchange(peer, source).ok());
  REQUIRE(source.offerInstanceList(list("leaving"), 2, "t").ok());
  Messages::ViewRequest request;
  request.set_list_index(1);
  request.set_list_digest(peer.state().listDigest);
  CHECK(source.answer(request).instance_list().size() < 100);
  REQUIRE(exchange(peer, source).ok());
  CHECK(peer.state().listIndex == 2);
  CHECK(peer.instances().instances[7].leaving);
}

TEST_CASE("the newest revision wins and nothing goes back")
{
  ViewStore store(quietLog());
  REQUIRE(store.offerDocument(document(3), "t").ok());
  CHECK(store.offerDocument(document(2), "t").ok());
  CHECK(store.state().revision == 3);
  REQUIRE(store.offerDocument(document(4), "t").ok());
  CHECK(store.state().revision == 4);
}

TEST_CASE("a faulty document leaves the one in force")
{
  ViewStore store(quietLog());
  REQUIRE(store.offerDocument(document(3), "t").ok());
  const auto digest = store.state().digest;
  CHECK_FALSE(store.offerDocument("{\"revision\": 9}", "t").ok());
  CHECK(store.state().revision == 3);
  CHECK(store.state().digest == digest);
}

TEST_CASE("another content under the revision in force is refused")
{
  ViewStore store(quietLog());
  REQUIRE(store.offerDocument(document(3), "t").ok());
  const auto digest = store.state().digest;
  CHECK_FALSE(store.offerDocument(document(3, "other"), "t").ok());
  CHECK(store.state().digest == digest);

  ViewStore peer(quietLog());
  REQUIRE(peer.offerDocument(document(3, "other"), "t").ok());
  CHECK_FALSE(exchange(store, peer).ok());
  CHECK(store.state().digest == digest);
}

TEST_CASE("a peer gets a snapshot first and differences after")
{
  ViewStore source(quietLog());
  ViewStore peer(quietLog());
  REQUIRE(source.offerDocument(document(1), "t").ok());
  REQUIRE(exchange(peer, source).ok());
  CHECK(peer.state().revision == 1);

  REQUIRE(source.offerDocument(document(2), "t").ok());
  Messages::ViewRequest request;
  request.set_revision(1);
  request.set_digest(peer.state().digest);
  const auto reply = source.answer(request);
  CHECK(reply.base_digest() == peer.state().digest);
  CHECK(reply.document().size() < 200);
  REQUIRE(peer.accept(reply).ok());
  CHECK(peer.state().digest == source.state().digest);
}

TEST_CASE("a difference to an unknown base or with a wrong digest is refused")
{
  ViewStore source(quietLog());
  REQUIRE(source.offerDocument(document(1), "t").ok());
  Messages::ViewRequest request;
  auto reply = source.answer(request);
  reply.set_digest("0");
  ViewStore peer(quietLog());
  CHECK_FALSE(peer.accept(reply).ok());
  CHECK(peer.state().revision == 0);
}

TEST_CASE("a peer that is behind confirms nothing less than an equal one")
{
  ViewStore store(quietLog());
  ViewStore behind(quietLog());
  REQUIRE(store.offerDocument(document(2), "t").ok());
  REQUIRE(behind.offerDocument(document(1), "t").ok());
  REQUIRE(exchange(store, behind).ok());
  CHECK(store.state().revision == 2);
  REQUIRE(exchange(behind, store).ok());
  CHECK(behind.state().revision == 2);
}

TEST_CASE("no random schedule of offers and exchanges goes back or splits")
{
  constexpr std::size_t kStores = 6;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<ViewStore>> stores;
    std::vector<std::uint64_t> seen(kStores, 0);
    std::uint64_t published = 1;
    for (std::size_t i = 0; i < kStores; ++i) {
      stores.push_back(std::make_unique<ViewStore>(quietLog()));
    }
    for (int step = 0; step < 100; ++step) {
      const auto at = random() % kStores;
      switch (random() % 4) {
        case 0:
          ++published;
          break;
        case 1: {
          // The service may be stale: any revision that ever was.
          const auto offered = 1 + random() % published;
          CHECK(stores[at]->offerDocument(document(offered), "s").ok());
          break;
        }
        default:
          CHECK(exchange(*stores[at], *stores[random() % kStores]).ok());
          break;
      }
      for (std::size_t i = 0; i < kStores; ++i) {
        const auto revision = stores[i]->state().revision;
        CHECK(revision >= seen[i]);
        seen[i] = revision;
      }
    }
  }
}

TEST_CASE("each zone has two readers of the service")
{
  const auto list = fleet(60, 3);
  std::map<std::string, int> readers;
  for (const auto& it : list.instances) {
    if (isServiceReader(list, { it.name, it.zone })) {
      ++readers[it.zone];
    }
  }
  CHECK(readers ==
        std::map<std::string, int>{ { "z0", 2 }, { "z1", 2 }, { "z2", 2 } });
}

TEST_CASE("peers are few, are others, and only readers cross zones")
{
  const auto list = fleet(60, 3);
  for (const auto& it : list.instances) {
    const SelfPlace self{ it.name, it.zone };
    const auto peers = choosePeers(list, self);
    std::size_t foreign = 0;
    for (const auto& peer : peers) {
      CHECK(peer.name != it.name);
      foreign += peer.zone != it.zone ? 1 : 0;
    }
    CHECK(peers.size() - foreign == 3);
    CHECK(foreign == (isServiceReader(list, self) ? 2 : 0));
  }
}

TEST_CASE("everybody is reached from the readers over chosen peers")
{
  const auto list = fleet(300, 3);
  std::set<std::string> informed;
  for (const auto& it : list.instances) {
    if (isServiceReader(list, { it.name, it.zone })) {
      informed.insert(it.name);
    }
  }
  for (int round = 0; round < 20; ++round) {
    auto next = informed;
    for (const auto& it : list.instances) {
      for (const auto& peer : choosePeers(list, { it.name, it.zone })) {
        if (informed.contains(peer.name)) {
          next.insert(it.name);
        }
      }
    }
    informed = next;
  }
  CHECK(informed.size() == 300);
}
