#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "compression/textcodec.h"
#include "control/peerchoice.h"
#include "control/readbackoff.h"
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
disabledLog()
{
  static Telemetry::EventLog sLog({ "test", "off", false });
  return sLog;
}

/** An example document; a comment changes its digest, not its meaning. */
std::string
createDocument(std::uint64_t aRevision, const std::string& aComment = "")
{
  std::stringstream text;
  text << std::ifstream(std::string(EXAMPLES_FOLDER) + "/stalbo/document.json")
            .rdbuf();
  return absl::StrReplaceAll(
           text.str(),
           { { "\"revision\": 1",
               absl::StrCat("\"revision\": ", aRevision) } }) +
         (aComment.empty() ? "" : "// " + aComment + "\n");
}

/** Requests the view of aResponder for aRequester and applies the reply. */
absl::Status
exchangeViews(ViewStore& aRequester, const ViewStore& aResponder)
{
  const auto state = aRequester.state();
  Messages::ViewRequest request;
  request.set_revision(state.revision);
  request.set_digest(state.digest);
  request.set_list_index(state.listIndex);
  request.set_list_digest(state.listDigest);
  return aRequester.applyReply(aResponder.createReply(request));
}

Config::InstanceList
createInstanceList(std::size_t aInstanceCount, std::size_t aZoneCount)
{
  Config::InstanceList list;
  for (std::size_t i = 0; i < aInstanceCount; ++i) {
    Config::Instance instance;
    instance.name = absl::StrCat("i", i);
    instance.zone = absl::StrCat("z", i % aZoneCount);
    instance.control = { static_cast<std::uint32_t>(i + 1), 1 };
    list.instances.push_back(instance);
  }
  return list;
}

} // namespace

TEST_CASE("a text is restored from its compressed form and from a delta")
{
  const auto oldText = createDocument(1);
  const auto newText = createDocument(2, "x");
  const auto compressed = compressText(newText);
  const auto delta = compressText(newText, oldText);
  REQUIRE(compressed.ok());
  REQUIRE(delta.ok());
  CHECK(delta->size() < compressed->size() / 4);
  CHECK(*decompressText(*compressed) == newText);
  CHECK(*decompressText(*delta, oldText) == newText);
  CHECK_FALSE(decompressText("not a frame").ok());
}

TEST_CASE("a compressed document has the digest of its plain text")
{
  ViewStore store(disabledLog());
  const auto text = createDocument(3);
  REQUIRE(store.updateDocument(*compressText(text), "t").ok());
  CHECK(store.state().revision == 3);
  CHECK(store.state().digest == Config::digestOf(text));
  CHECK_FALSE(store.updateDocument("\x28\xb5\x2f\xfd cut", "t").ok());
}

TEST_CASE("a peer receives a changed instance list as a delta")
{
  const auto createListText = [](const char* aState) {
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
  ViewStore source(disabledLog());
  ViewStore peer(disabledLog());
  REQUIRE(source.updateInstanceList(createListText("live"), 1, "t").ok());
  REQUIRE(exchangeViews(peer, source).ok());
  REQUIRE(source.updateInstanceList(createListText("leaving"), 2, "t").ok());
  Messages::ViewRequest request;
  request.set_list_index(1);
  request.set_list_digest(peer.state().listDigest);
  CHECK(source.createReply(request).instance_list().size() < 100);
  REQUIRE(exchangeViews(peer, source).ok());
  CHECK(peer.state().listIndex == 2);
  CHECK(peer.instances().instances[7].leaving);
}

TEST_CASE("an older revision never replaces a newer one")
{
  ViewStore store(disabledLog());
  REQUIRE(store.updateDocument(createDocument(3), "t").ok());
  CHECK(store.updateDocument(createDocument(2), "t").ok());
  CHECK(store.state().revision == 3);
  REQUIRE(store.updateDocument(createDocument(4), "t").ok());
  CHECK(store.state().revision == 4);
}

TEST_CASE("an invalid document does not replace the current one")
{
  ViewStore store(disabledLog());
  REQUIRE(store.updateDocument(createDocument(3), "t").ok());
  const auto digest = store.state().digest;
  CHECK_FALSE(store.updateDocument("{\"revision\": 9}", "t").ok());
  CHECK(store.state().revision == 3);
  CHECK(store.state().digest == digest);
}

TEST_CASE("an instance whose entry became odd stays where it was")
{
  const auto list = [](const std::string& aState) {
    return R"({"instances":[{"name":"a","role":"target","zone":"z",)"
           R"("data":"127.0.0.1:1","control":"127.0.0.1:2","state":")" +
           aState +
           R"("},{"name":"b","role":"target","zone":"z",)"
           R"("data":"127.0.0.1:3","control":"127.0.0.1:4","state":"live"}]})";
  };
  ViewStore store(disabledLog());
  REQUIRE(store.updateInstanceList(list("live"), 1, "test").ok());
  REQUIRE(store.updateInstanceList(list("confused"), 2, "test").ok());
  CHECK(store.instances().instances.size() == 2);
  REQUIRE(store.updateInstanceList(list("leaving"), 3, "test").ok());
  const auto instances = store.instances().instances;
  REQUIRE(instances.size() == 2);
  CHECK(instances[0].leaving);
}

TEST_CASE("other content under the current revision is rejected")
{
  ViewStore store(disabledLog());
  REQUIRE(store.updateDocument(createDocument(3), "t").ok());
  const auto digest = store.state().digest;
  CHECK_FALSE(store.updateDocument(createDocument(3, "other"), "t").ok());
  CHECK(store.state().digest == digest);

  ViewStore peer(disabledLog());
  REQUIRE(peer.updateDocument(createDocument(3, "other"), "t").ok());
  CHECK_FALSE(exchangeViews(store, peer).ok());
  CHECK(store.state().digest == digest);
}

TEST_CASE("a peer receives the full document first and deltas later")
{
  ViewStore source(disabledLog());
  ViewStore peer(disabledLog());
  REQUIRE(source.updateDocument(createDocument(1), "t").ok());
  REQUIRE(exchangeViews(peer, source).ok());
  CHECK(peer.state().revision == 1);

  REQUIRE(source.updateDocument(createDocument(2), "t").ok());
  Messages::ViewRequest request;
  request.set_revision(1);
  request.set_digest(peer.state().digest);
  const auto reply = source.createReply(request);
  CHECK(reply.base_digest() == peer.state().digest);
  CHECK(reply.document().size() < 200);
  REQUIRE(peer.applyReply(reply).ok());
  CHECK(peer.state().digest == source.state().digest);
}

TEST_CASE("a document with a wrong digest is rejected")
{
  ViewStore source(disabledLog());
  REQUIRE(source.updateDocument(createDocument(1), "t").ok());
  Messages::ViewRequest request;
  auto reply = source.createReply(request);
  reply.set_digest("0");
  ViewStore peer(disabledLog());
  CHECK_FALSE(peer.applyReply(reply).ok());
  CHECK(peer.state().revision == 0);
}

TEST_CASE("an exchange with an older store keeps the newer revision")
{
  ViewStore store(disabledLog());
  ViewStore olderStore(disabledLog());
  REQUIRE(store.updateDocument(createDocument(2), "t").ok());
  REQUIRE(olderStore.updateDocument(createDocument(1), "t").ok());
  REQUIRE(exchangeViews(store, olderStore).ok());
  CHECK(store.state().revision == 2);
  REQUIRE(exchangeViews(olderStore, store).ok());
  CHECK(olderStore.state().revision == 2);
}

TEST_CASE("random updates and exchanges never fail or revert a revision")
{
  constexpr std::size_t kStoreCount = 6;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    std::vector<std::unique_ptr<ViewStore>> stores;
    std::vector<std::uint64_t> lastRevisions(kStoreCount, 0);
    std::uint64_t newestRevision = 1;
    for (std::size_t i = 0; i < kStoreCount; ++i) {
      stores.push_back(std::make_unique<ViewStore>(disabledLog()));
    }
    for (int step = 0; step < 100; ++step) {
      const auto index = random() % kStoreCount;
      switch (random() % 4) {
        case 0:
          ++newestRevision;
          break;
        case 1: {
          // The service may deliver an old document: any revision so far.
          const auto receivedRevision = 1 + random() % newestRevision;
          CHECK(stores[index]
                  ->updateDocument(createDocument(receivedRevision), "s")
                  .ok());
          break;
        }
        default:
          CHECK(exchangeViews(*stores[index], *stores[random() % kStoreCount])
                  .ok());
          break;
      }
      for (std::size_t i = 0; i < kStoreCount; ++i) {
        const auto revision = stores[i]->state().revision;
        CHECK(revision >= lastRevisions[i]);
        lastRevisions[i] = revision;
      }
    }
  }
}

TEST_CASE("each zone has two service readers")
{
  const auto list = createInstanceList(60, 3);
  std::map<std::string, int> readers;
  for (const auto& instance : list.instances) {
    if (isServiceReader(list, { instance.name, instance.zone })) {
      ++readers[instance.zone];
    }
  }
  CHECK(readers ==
        std::map<std::string, int>{ { "z0", 2 }, { "z1", 2 }, { "z2", 2 } });
}

// Guards against a fleet that stays with an old document for up to 30 s after
// a long outage of the service.
TEST_CASE("service readers call a failed service again within a few seconds")
{
  std::mt19937_64 random(1);
  ReadBackoff reader;
  ReadBackoff other;
  auto longest = std::chrono::milliseconds(0);
  for (int i = 0; i < 100; ++i) {
    CHECK(reader.next(true, random) <= ReadBackoff::kMaxReaderDelay);
    longest = std::max(longest, other.next(false, random));
  }
  CHECK(longest > ReadBackoff::kMaxDelay / 2);
  CHECK(longest <= ReadBackoff::kMaxDelay);
  CHECK(other.next(true, random) <= ReadBackoff::kMaxReaderDelay);
  other.reset();
  CHECK(other.next(false, random) <= ReadBackoff::kInitialDelay);
}

TEST_CASE("a process has three peers in its zone, a reader one in each other")
{
  const auto list = createInstanceList(60, 3);
  for (const auto& instance : list.instances) {
    const LocalInstance self{ instance.name, instance.zone };
    const auto peers = choosePeers(list, self);
    std::size_t peersInOtherZones = 0;
    for (const auto& peer : peers) {
      CHECK(peer.name != instance.name);
      peersInOtherZones += peer.zone != instance.zone ? 1 : 0;
    }
    CHECK(peers.size() - peersInOtherZones == 3);
    CHECK(peersInOtherZones == (isServiceReader(list, self) ? 2 : 0));
  }
}

TEST_CASE("an update spreads from the readers to every process")
{
  const auto list = createInstanceList(300, 3);
  std::set<std::string> informed;
  for (const auto& instance : list.instances) {
    if (isServiceReader(list, { instance.name, instance.zone })) {
      informed.insert(instance.name);
    }
  }
  for (int round = 0; round < 20; ++round) {
    auto next = informed;
    for (const auto& instance : list.instances) {
      for (const auto& peer :
           choosePeers(list, { instance.name, instance.zone })) {
        if (informed.contains(peer.name)) {
          next.insert(instance.name);
        }
      }
    }
    informed = next;
  }
  CHECK(informed.size() == 300);
}
