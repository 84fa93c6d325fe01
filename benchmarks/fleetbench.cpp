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

constexpr std::size_t kZoneCount = 5;
constexpr std::chrono::seconds kSteadyStateDuration{ 5 };
constexpr std::chrono::seconds kPropagationTimeout{ 60 };
constexpr std::chrono::milliseconds kExchangeInterval{ 250 };
constexpr int kChangeCount = 5;
/** Every fifth node restarts, that is 20%. */
constexpr std::size_t kRestartStride = 5;

/** The control components of one process. */
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

  /** Not shared among nodes, because each process has its own. */
  Control::ZeroMqContext context;
  Control::LocalInstance self;
  Control::ViewStore store;
  std::unique_ptr<Control::ViewServer> server;
  Control::ViewExchange exchange;
};

std::string
nodeName(std::size_t aNodeIndex)
{
  return absl::StrCat("n", aNodeIndex);
}

Core::Endpoint
controlEndpoint(std::size_t aNodeIndex)
{
  constexpr std::uint32_t kBaseAddress = 0x7f500001;
  constexpr std::uint16_t kControlPort = 7001;
  return { kBaseAddress + static_cast<std::uint32_t>(aNodeIndex),
           kControlPort };
}

std::string
makeInstanceList(std::size_t aNodeCount)
{
  std::string text = "{\"instances\":[";
  for (std::size_t i = 0; i < aNodeCount; ++i) {
    const auto address = Core::formatAddress(controlEndpoint(i).address);
    absl::StrAppend(&text,
                    i == 0 ? "" : ",",
                    "{\"name\":\"",
                    nodeName(i),
                    "\",\"role\":\"target\",\"zone\":\"z",
                    i % kZoneCount,
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
  Fleet(std::size_t aNodeCount, Core::StopSource& aStop)
    : mEvents({ "bench", "off", false })
    , mStop(aStop)
  {
    const auto list = makeInstanceList(aNodeCount);
    for (std::size_t i = 0; i < aNodeCount; ++i) {
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

  /** Replaces every aStride-th node by a new one without any state. */
  absl::Status restartEvery(std::size_t aStride)
  {
    for (std::size_t i = 0; i < mNodes.size(); i += aStride) {
      mNodes[i].reset();
      mNodes[i] = makeNode(i);
      if (auto status = startServer(i); !status.ok()) {
        return status;
      }
    }
    return absl::OkStatus();
  }

  /**
   * Publishes a revision to one service reader, as if the configuration service
   * failed right afterwards. Returns the seconds until all nodes have it.
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

  /**
   * Publishes a revision to all service readers. Returns the seconds until all
   * nodes have it.
   */
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

  std::uint64_t totalBytes() const
  {
    std::uint64_t sum = 0;
    for (const auto& it : mNodes) {
      sum += it->exchange.exchangedBytes() + it->server->sentBytes();
    }
    return sum;
  }

private:
  std::unique_ptr<Node> makeNode(std::size_t aNodeIndex)
  {
    const Control::LocalInstance self{
      nodeName(aNodeIndex), absl::StrCat("z", aNodeIndex % kZoneCount)
    };
    const std::vector<Core::Endpoint> seeds{ controlEndpoint(1),
                                             controlEndpoint(2) };
    return std::make_unique<Node>(self, seeds, mEvents, mStop);
  }

  absl::Status startServer(std::size_t aNodeIndex)
  {
    auto& node = *mNodes[aNodeIndex];
    auto server = Control::ViewServer::start(node.context,
                                             controlEndpoint(aNodeIndex),
                                             node.self.name,
                                             node.store,
                                             mStop);
    if (!server.ok()) {
      return server.status();
    }
    node.server = std::move(*server);
    return absl::OkStatus();
  }

  /**
   * Returns the seconds until all nodes have the revision, or the timeout if
   * some node doesn't get it in time.
   */
  double waitForRevision(std::uint64_t aRevision)
  {
    const Core::SystemClock clock;
    const auto start = clock.now();
    const auto hasReachedAllNodes = [&] {
      return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
        return aNode->store.state().revision >= aRevision;
      });
    };
    auto lastUpdateAt = start;
    while (!hasReachedAllNodes() && clock.now() - start < kPropagationTimeout) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      if (clock.now() - lastUpdateAt < kExchangeInterval) {
        continue;
      }
      lastUpdateAt = clock.now();
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
processCpuSeconds()
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
runFleet(std::size_t aNodeCount)
{
  auto stop = Core::StopSource::create();
  if (!stop.ok()) {
    return {};
  }
  Fleet fleet(aNodeCount, **stop);
  if (const auto status = fleet.start(); !status.ok()) {
    return { { absl::StrCat("fleet: ", status.message()), 1, "", 0 } };
  }
  const auto suffix = absl::StrCat(" at ", aNodeCount, " nodes");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto bytesBefore = fleet.totalBytes();
  const auto cpuSecondsBefore = processCpuSeconds();
  std::this_thread::sleep_for(kSteadyStateDuration);
  const auto bytesPerSecond =
    static_cast<double>(fleet.totalBytes() - bytesBefore) /
    static_cast<double>(kSteadyStateDuration.count() * aNodeCount);
  const auto cpuPercent =
    100 * (processCpuSeconds() - cpuSecondsBefore) /
    static_cast<double>(kSteadyStateDuration.count() * aNodeCount);
  double slowestSeconds = 0;
  for (int change = 0; change < kChangeCount; ++change) {
    slowestSeconds = std::max(slowestSeconds, fleet.promote(2 + change));
  }
  const auto restartStatus = fleet.restartEvery(kRestartStride);
  const double secondsAfterRestart =
    restartStatus.ok() ? fleet.promoteAtOneReader(2 + kChangeCount) : -1;
  Records records;
  records.push_back(
    { "one reader, service down, 20% restarted, everywhere" + suffix,
      secondsAfterRestart,
      "s",
      18 });
  records.push_back(
    { "change in force everywhere, slowest of 5" + suffix,
      slowestSeconds,
      "s",
      aNodeCount >= 256 ? std::optional<double>(3) : std::nullopt });
  records.push_back(
    { "exchange of views, steady" + suffix, bytesPerSecond, "bytes/s" });
  records.push_back({ "processor time of the exchange, steady" + suffix,
                      cpuPercent,
                      "% of a core" });
  return records;
}

} // namespace Bench
