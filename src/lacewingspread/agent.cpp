#include "agent.h"

#include "process.h"
#include "statuspage.h"

#include "backendlink/backendsender.h"
#include "core/systemclock.h"
#include "core/task.h"
#include "ownership/agentengine.h"
#include "telemetry/metricswriter.h"
#include "telemetry/statusserver.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <absl/strings/str_cat.h>
#include <sodium.h>

#include <poll.h>

#include <array>
#include <atomic>
#include <chrono>

namespace {

constexpr std::chrono::milliseconds kPollTime{ 2 };
constexpr std::chrono::milliseconds kAskForFlowsInterval{ 200 };
constexpr std::chrono::milliseconds kPublishInterval{ 100 };

Ownership::AgentIdentity
identityOf(const Config::AgentSettings& aSettings, Core::TimePoint aNow)
{
  Ownership::AgentIdentity self;
  self.name = aSettings.common.name;
  self.target = Config::identityOf(aSettings.common.name);
  self.endpoint = aSettings.common.data;
  self.startedAt = aNow;
  randombytes_buf(&self.claimer, sizeof(self.claimer));
  self.incarnation = static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count());
  return self;
}

/** Sends each kind of packet through its own socket. */
class AgentPorts
{
public:
  AgentPorts(const Transport::UdpSocket& aData,
             const Transport::UdpSocket& aBackend,
             const Config::AgentSettings& aSettings)
    : mToAgents(aData,
                Transport::DatagramReceiver::kDatagramBytes,
                Transport::kMaxDatagramAge)
    , mToCallers(aData)
    , mBackend(aBackend, aSettings.backendServer)
    , mGateway(aSettings.gateway)
  {
  }

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    mToAgents.send(aTo, aData);
  }
  void deliver(absl::Span<const std::uint8_t> aPacket)
  {
    mBackend.deliver(aPacket);
  }
  void sendToCaller(absl::Span<const std::uint8_t> aPacket)
  {
    mBuffer.clear();
    Packet::GuePacket gue;
    gue.body = aPacket;
    gue.appendTo(mBuffer);
    mToCallers.send(mGateway, mBuffer);
  }
  void askBackendForFlows() { mBackend.requestFlows(); }
  void flush()
  {
    mToAgents.flush();
    mToCallers.flush();
    mBackend.flush();
  }

private:
  Transport::DatagramSender mToAgents;
  /** Answers are worth sending however late. */
  Transport::DatagramSender mToCallers;
  BackendLink::UdpBackendSender mBackend;
  Core::Endpoint mGateway;
  std::vector<std::uint8_t> mBuffer;
};

/** What the status pages tell of the data task. */
struct AgentFigures
{
  std::atomic<std::size_t> openFlows = 0;
  std::atomic<std::size_t> waitingFlows = 0;
  std::atomic<std::uint32_t> slotsInUse = 0;
  std::atomic<std::uint32_t> slots = 0;
  std::atomic<std::uint32_t> connectionsInUse = 0;
  std::atomic<bool> hasView = false;
  std::atomic<bool> hasFullHistory = false;
};

/** The one data task of an agent. */
class Agent
{
public:
  Agent(const Config::AgentSettings& aSettings,
        Process& aProcess,
        const Transport::UdpSocket& aData,
        const Transport::UdpSocket& aBackend,
        Telemetry::HistogramSet& aHistograms)
    : mProcess(aProcess)
    , mData(aData)
    , mBackend(aBackend)
    , mFromAgents(Transport::DatagramReceiver::kDatagramBytes,
                  Transport::kMaxDatagramAge)
    , mPorts(aData, aBackend, aSettings)
    , mEngine(mPorts,
              identityOf(aSettings, mClock.now()),
              aSettings.common.flowHashKey,
              aProcess.events(),
              aHistograms)
  {
  }

  void run()
  {
    std::array<pollfd, 2> entries{
      pollfd{ mData.descriptor(), POLLIN, 0 },
      pollfd{ mBackend.descriptor(), POLLIN, 0 },
    };
    while (!mProcess.stop().isStopRequested()) {
      poll(entries.data(), entries.size(), static_cast<int>(kPollTime.count()));
      takeNewView();
      const auto now = mClock.now();
      requestFlows(now);
      receiveFromBackend(now);
      receiveData(now);
      if (mShouldLeave && !mEngine.isDraining()) {
        mEngine.startDraining(now);
      }
      mEngine.tick(now);
      mPorts.flush();
      publish(now);
    }
  }

  void startDraining() { mShouldLeave = true; }
  const AgentFigures& figures() const { return mFigures; }
  /** Datagrams that came while the process did not run. */
  std::uint64_t staleDatagrams() const { return mFromAgents.staleCount(); }
  const Ownership::AgentCounters& counters() const
  {
    return mEngine.counters();
  }

private:
  void takeNewView()
  {
    auto& store = mProcess.store();
    const auto confirmationCount = store.confirmationCount();
    if (confirmationCount != mSeenConfirmations) {
      mSeenConfirmations = confirmationCount;
      mEngine.confirmView(mClock.now());
    }
    const auto generation = store.generation();
    if (generation == mSeenGeneration) {
      return;
    }
    mSeenGeneration = generation;
    const auto status = mEngine.activateView(store.state().view, mClock.now());
    if (!status.ok()) {
      mProcess.events().write(Telemetry::Event::ViewRefused, status.message());
      return;
    }
    mFigures.hasView = true;
  }

  /** No packet is taken before the backend server told what it holds. */
  void requestFlows(Core::TimePoint aNow)
  {
    const bool isDue = aNow - mAskedAt >= kAskForFlowsInterval;
    if (!mKnowsBackendFlows && mFigures.hasView && isDue) {
      mAskedAt = aNow;
      mPorts.askBackendForFlows();
    }
  }

  void receiveFromBackend(Core::TimePoint aNow)
  {
    mFromBackend.receive(mBackend, [&](const auto& aDatagram) {
      const auto gue = Packet::GuePacket::parse(aDatagram);
      if (!gue.ok()) {
        return;
      }
      if (gue->content == Packet::GueContent::Ipv4Packet) {
        mEngine.handleBackendPacket(gue->body, aNow);
        return;
      }
      const auto flows = BackendLink::readBackendFlows(*gue);
      if (flows && !mKnowsBackendFlows) {
        mKnowsBackendFlows = true;
        mEngine.adoptFlows(*flows, aNow);
        mProcess.events().write(
          Telemetry::Event::FlowsAdopted,
          absl::StrCat(flows->size(), " flows held by the backend server"));
      }
    });
  }

  void receiveData(Core::TimePoint aNow)
  {
    if (!mKnowsBackendFlows) {
      return;
    }
    mFromAgents.receive(mData, [&](const auto& aDatagram) {
      mEngine.handleDatagram(aDatagram, aNow);
    });
  }

  void publish(Core::TimePoint aNow)
  {
    if (aNow - mPublishedAt < kPublishInterval) {
      return;
    }
    mPublishedAt = aNow;
    const auto load = mEngine.load(aNow);
    mFigures.openFlows = mEngine.openFlows();
    mFigures.waitingFlows = mEngine.waitingFlows();
    mFigures.slotsInUse = load.slotsInUse;
    mFigures.slots = load.slots;
    mFigures.connectionsInUse = load.connectionsInUse;
    mFigures.hasFullHistory = mEngine.hasFullHistory(aNow);
  }

  Process& mProcess;
  const Transport::UdpSocket& mData;
  const Transport::UdpSocket& mBackend;
  Core::SystemClock mClock;
  Transport::DatagramReceiver mFromAgents;
  /** Answers are worth sending however late. */
  Transport::DatagramReceiver mFromBackend;
  AgentPorts mPorts;
  Ownership::AgentEngine<AgentPorts> mEngine;
  AgentFigures mFigures;
  std::atomic<bool> mShouldLeave = false;
  std::uint64_t mSeenGeneration = 0;
  std::uint64_t mSeenConfirmations = 0;
  bool mKnowsBackendFlows = false;
  Core::TimePoint mAskedAt{};
  Core::TimePoint mPublishedAt{};
};

/** Waits until every flow has ended or the document's deadline is over. */
void
drain(Agent& aAgent, Process& aProcess)
{
  const auto view = aProcess.store().state().view;
  const auto limit = view == nullptr ? std::chrono::milliseconds(0)
                                     : view->document().drainDeadline;
  aProcess.events().write(Telemetry::Event::DrainStarted,
                          absl::StrCat(aAgent.figures().openFlows.load(),
                                       " open flows, deadline ",
                                       limit.count(),
                                       " ms"));
  aAgent.startDraining();
  const auto deadline = std::chrono::steady_clock::now() + limit;
  // The published count must be newer than the last admission.
  aProcess.stop().sleepFor(kPublishInterval * 4);
  while (aAgent.figures().openFlows > 0) {
    if (std::chrono::steady_clock::now() >= deadline) {
      aProcess.events().write(
        Telemetry::Event::DrainDeadline,
        absl::StrCat(aAgent.figures().openFlows.load(), " flows are left"));
      return;
    }
    aProcess.stop().sleepFor(kPublishInterval);
  }
  aProcess.events().write(Telemetry::Event::DrainFinished, "no flow is left");
}

std::string
metricsPage(const Agent& aAgent,
            const Telemetry::HistogramSet& aHistograms,
            Process& aProcess)
{
  Telemetry::MetricsWriter writer;
  writer.counters(aAgent.counters(),
                  [](auto aCounter) { return nameOf(aCounter); });
  const auto& figures = aAgent.figures();
  writer.gauge("open_flows", static_cast<double>(figures.openFlows));
  writer.counter("datagrams_stale_total", aAgent.staleDatagrams());
  writer.gauge("waiting_flows", static_cast<double>(figures.waitingFlows));
  writer.gauge("slots_in_use", figures.slotsInUse);
  writer.gauge("slots", figures.slots);
  writer.gauge("connections_in_use", figures.connectionsInUse);
  writer.gauge("view_revision",
               static_cast<double>(aProcess.store().state().revision));
  writer.histograms(aHistograms.summaries());
  return writer.page();
}

std::string
statusText(const Agent& aAgent, const Process& aProcess, bool aIsLeaving)
{
  Json::Value page;
  aProcess.describe(page);
  const auto& figures = aAgent.figures();
  page["ready"] = figures.hasView && !aIsLeaving;
  page["leaving"] = aIsLeaving;
  page["complete"] = figures.hasFullHistory.load();
  page["openFlows"] = Json::Value::UInt64(figures.openFlows);
  page["waitingFlows"] = Json::Value::UInt64(figures.waitingFlows);
  page["slotsInUse"] = figures.slotsInUse.load();
  page["slots"] = figures.slots.load();
  page["connectionsInUse"] = figures.connectionsInUse.load();
  page["counters"] = counterPage(aAgent.counters());
  return toText(page);
}

} // namespace

absl::Status
runAgent(const Config::AgentSettings& aSettings)
{
  auto process = Process::start(aSettings.common, "agent");
  if (!process.ok()) {
    return process.status();
  }
  auto data = Transport::UdpSocket::bind(aSettings.common.data);
  if (!data.ok()) {
    return data.status();
  }
  auto backend = Transport::UdpSocket::bind(aSettings.backendPort);
  if (!backend.ok()) {
    return backend.status();
  }
  Telemetry::HistogramSet histograms;
  if (auto status = data->enableReceiveTimestamps(); !status.ok()) {
    return status;
  }
  Agent agent(aSettings, **process, *data, *backend, histograms);
  std::atomic<bool> isDraining = false;
  Telemetry::StatusPages pages;
  pages.isReady = [&] { return agent.figures().hasView && !isDraining; };
  pages.status = [&] { return statusText(agent, **process, isDraining); };
  pages.metrics = [&] { return metricsPage(agent, histograms, **process); };
  pages.histograms = [&] { return histogramPage(histograms); };
  auto status = Telemetry::StatusServer::start(aSettings.common.status, pages);
  if (!status.ok()) {
    return status.status();
  }
  Core::Task task;
  if (auto started = task.start("data", [&] { agent.run(); }); !started.ok()) {
    return started;
  }
  (*process)->waitForSignal([] { return false; });
  isDraining = true;
  drain(agent, **process);
  (*process)->stop().requestStop();
  task.join();
  return absl::OkStatus();
}
