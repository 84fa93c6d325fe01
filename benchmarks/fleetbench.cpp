#include "benches.h"

#include "control/viewexchange.h"
#include "control/viewserver.h"
#include "control/viewstore.h"
#include "control/zeromqsocket.h"
#include "core/stopsource.h"
#include "core/systemclock.h"
#include "telemetry/eventlog.h"

#include <absl/strings/str_cat.h>

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <thread>

namespace Bench {

namespace {

constexpr std::size_t kZones = 5;
constexpr std::chrono::seconds kSteadyTime{ 5 };
constexpr std::chrono::seconds kPatience{ 60 };
constexpr std::chrono::milliseconds kUpdateInterval{ 250 };
constexpr int kChanges = 5;
/** Every fifth process restarts: 20%. */
constexpr std::size_t kRestartEach = 5;

/** The control parts of one process. */
struct Node
{
  Node(const Control::LocalInstance& aSelf,
       const std::vector<Core::Endpoint>& aSeeds,
       Telemetry::EventLog& aEvents,
       const Core::StopSource& aStop)
    : self(aSelf)
    , store(aEvents)
    , exchange(context, aSelf, aSeeds, store, aEvents, aStop)
  {
  }

  /** One each, as in a process of its own. */
  Control::ZeroMqContext context;
  Control::LocalInstance self;
  Control::ViewStore store;
  std::unique_ptr<Control::ViewServer> server;
  Control::ViewExchange exchange;
};

std::string
nameOf(std::size_t aNode)
{
  return absl::StrCat("n", aNode);
}

Core::Endpoint
endpointOf(std::size_t aNode)
{
  constexpr std::uint32_t kBase = 0x7f500001;
  constexpr std::uint16_t kControlPort = 7001;
  return { kBase + static_cast<std::uint32_t>(aNode), kControlPort };
}

std::string
makeList(std::size_t aNodes)
{
  std::string text = "{\"instances\":[";
  for (std::size_t i = 0; i < aNodes; ++i) {
    const auto address = Core::formatAddress(endpointOf(i).address);
    absl::StrAppend(&text,
                    i == 0 ? "" : ",",
                    "{\"name\":\"",
                    nameOf(i),
                    "\",\"role\":\"target\",\"zone\":\"z",
                    i % kZones,
                    "\",\"state\":\"live\",\"data\":\"",
                    address,
                    ":7000\",\"control\":\"",
                    address,
                    ":7001\"}");
  }
  return text + "]}";
}

std::string
makeDocument(std::uint64_t aRevision)
{
  return absl::StrCat("{\"revision\":",
                      aRevision,
                      ",\"regions\":[{\"name\":\"r\",\"zones\":[\"z0\"]}],"
                      "\"services\":[]}");
}

class Fleet
{
public:
  Fleet(std::size_t aNodes, Core::StopSource& aStop)
    : mEvents({ "bench", "off", false })
    , mStop(aStop)
  {
    const auto list = makeList(aNodes);
    for (std::size_t i = 0; i < aNodes; ++i) {
      mNodes.push_back(makeNode(i));
      auto& store = mNodes.back()->store;
      static_cast<void>(store.updateInstanceList(list, 1, "bench"));
      static_cast<void>(store.updateDocument(makeDocument(1), "bench"));
    }
  }
  ~Fleet() { mStop.requestStop(); }

  absl::Status start()
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (auto status = startServer(i); !status.ok()) {
        return status;
      }
    }
    for (auto& it : mNodes) {
      it->exchange.update();
    }
    return absl::OkStatus();
  }

  /** New processes with empty memories in the place of every aEach-th. */
  absl::Status restartEach(std::size_t aEach)
  {
    for (std::size_t i = 0; i < mNodes.size(); i += aEach) {
      mNodes[i].reset();
      mNodes[i] = makeNode(i);
      if (auto status = startServer(i); !status.ok()) {
        return status;
      }
    }
    return absl::OkStatus();
  }

  /**
   * Gives a revision to one reader, as if the service went down right after,
   * and returns the seconds until everybody has it.
   */
  double promoteAtOneReader(std::uint64_t aRevision)
  {
    const auto it =
      std::find_if(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
        return aNode->store.state().revision > 0 &&
               Control::isServiceReader(aNode->store.instances(), aNode->self);
      });
    static_cast<void>(
      (*it)->store.updateDocument(makeDocument(aRevision), "bench"));
    return waitForRevision(aRevision);
  }

  /** Gives a revision to the readers; seconds until everybody has it. */
  double promote(std::uint64_t aRevision)
  {
    for (auto& it : mNodes) {
      if (Control::isServiceReader(it->store.instances(), it->self)) {
        static_cast<void>(
          it->store.updateDocument(makeDocument(aRevision), "bench"));
      }
    }
    return waitForRevision(aRevision);
  }

  std::uint64_t bytes() const
  {
    std::uint64_t sum = 0;
    for (const auto& it : mNodes) {
      sum += it->exchange.exchangedBytes() + it->server->sentBytes();
    }
    return sum;
  }

private:
  std::unique_ptr<Node> makeNode(std::size_t aIndex)
  {
    const Control::LocalInstance self{ nameOf(aIndex),
                                       absl::StrCat("z", aIndex % kZones) };
    const std::vector<Core::Endpoint> seeds{ endpointOf(1), endpointOf(2) };
    return std::make_unique<Node>(self, seeds, mEvents, mStop);
  }

  absl::Status startServer(std::size_t aIndex)
  {
    auto& node = *mNodes[aIndex];
    auto server = Control::ViewServer::start(
      node.context, endpointOf(aIndex), node.self.name, node.store, mStop);
    if (!server.ok()) {
      return server.status();
    }
    node.server = std::move(*server);
    return absl::OkStatus();
  }

  double waitForRevision(std::uint64_t aRevision)
  {
    const Core::SystemClock clock;
    const auto start = clock.now();
    const auto isEverywhere = [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->store.state().revision >= aRevision;
      });
    };
    auto updatedAt = start;
    while (!isEverywhere() && clock.now() - start < kPatience) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (clock.now() - updatedAt < kUpdateInterval) {
        continue;
      }
      updatedAt = clock.now();
      for (auto& it : mNodes) {
        it->exchange.update();
      }
    }
    const std::chrono::duration<double> elapsed = clock.now() - start;
    return elapsed.count();
  }

  Telemetry::EventLog mEvents;
  Core::StopSource& mStop;
  std::vector<std::unique_ptr<Node>> mNodes;
};

double
processorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicro = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicro *
           static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

} // namespace

Records
runFleet(std::size_t aNodes)
{
  auto stop = Core::StopSource::create();
  if (!stop.ok()) {
    return {};
  }
  Fleet fleet(aNodes, **stop);
  if (const auto status = fleet.start(); !status.ok()) {
    return { { absl::StrCat("fleet: ", status.message()), 1, "", 0 } };
  }
  const auto at = absl::StrCat(" at ", aNodes, " nodes");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto bytesBefore = fleet.bytes();
  const auto processorBefore = processorSeconds();
  std::this_thread::sleep_for(kSteadyTime);
  const auto bytes = static_cast<double>(fleet.bytes() - bytesBefore) /
                     static_cast<double>(kSteadyTime.count() * aNodes);
  const auto processor = 100 * (processorSeconds() - processorBefore) /
                         static_cast<double>(kSteadyTime.count() * aNodes);
  double slowest = 0;
  for (int change = 0; change < kChanges; ++change) {
    slowest = std::max(slowest, fleet.promote(2 + change));
  }
  const auto restarted = fleet.restartEach(kRestartEach);
  const double afterRestart =
    restarted.ok() ? fleet.promoteAtOneReader(2 + kChanges) : -1;
  Records records;
  records.push_back(
    { "one reader, service down, 20% restarted, everywhere" + at,
      afterRestart,
      "s",
      18 });
  records.push_back(
    { "change in force everywhere, slowest of 5" + at,
      slowest,
      "s",
      aNodes >= 256 ? std::optional<double>(3) : std::nullopt });
  records.push_back({ "exchange of views, steady" + at, bytes, "bytes/s" });
  records.push_back({ "processor time of the exchange, steady" + at,
                      processor,
                      "% of a core" });
  return records;
}

} // namespace Bench
