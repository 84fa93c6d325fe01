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

/** The engine needs a tick at least every ten milliseconds. */
constexpr std::chrono::milliseconds kPollTimeout{ 2 };
constexpr std::chrono::milliseconds kFlowRequestInterval{ 200 };
constexpr std::chrono::milliseconds kPublishInterval{ 100 };

Ownership::AgentIdentity
makeIdentity(const Config::AgentSettings& aSettings, Core::TimePoint aNow)
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

/** Sends to balancers, other agents, callers and the backend server. */
class UdpAgentOutput
{
public:
  UdpAgentOutput(const Transport::UdpSocket& aDataSocket,
                 const Transport::UdpSocket& aBackendSocket,
                 const Config::AgentSettings& aSettings)
    : mPeerSender(aDataSocket,
                  Transport::DatagramReceiver::kMaxDatagramBytes,
                  Transport::kMaxDatagramAge)
    , mCallerSender(aDataSocket)
    , mBackendSender(aBackendSocket, aSettings.backendServer)
    , mGateway(aSettings.gateway)
  {
  }

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    mPeerSender.send(aTo, aData);
  }
  void deliver(absl::Span<const std::uint8_t> aPacket)
  {
    mBackendSender.deliver(aPacket);
  }
  void sendToCaller(absl::Span<const std::uint8_t> aPacket)
  {
    mBuffer.clear();
    Packet::GuePacket gue;
    gue.body = aPacket;
    gue.appendTo(mBuffer);
    mCallerSender.send(mGateway, mBuffer);
  }
  void requestBackendFlows() { mBackendSender.requestFlows(); }
  void flush()
  {
    mPeerSender.flush();
    mCallerSender.flush();
    mBackendSender.flush();
  }

private:
  Transport::DatagramSender mPeerSender;
  /** Without a maximum age, because a late reply is still useful. */
  Transport::DatagramSender mCallerSender;
  BackendLink::UdpBackendSender mBackendSender;
  Core::Endpoint mGateway;
  std::vector<std::uint8_t> mBuffer;
};

/** State of the data thread, published for the status pages. */
struct AgentStatistics
{
  std::atomic<std::size_t> openFlows = 0;
  std::atomic<std::size_t> queuedFlows = 0;
  std::atomic<std::uint32_t> slotsInUse = 0;
  std::atomic<std::uint32_t> slots = 0;
  std::atomic<std::uint32_t> connectionsInUse = 0;
  std::atomic<bool> hasView = false;
  std::atomic<bool> hasFullHistory = false;
};

/** The data thread of an agent, which handles all of its packets. */
class Agent
{
public:
  Agent(const Config::AgentSettings& aSettings,
        Process& aProcess,
        const Transport::UdpSocket& aDataSocket,
        const Transport::UdpSocket& aBackendSocket,
        Telemetry::HistogramSet& aHistograms)
    : mProcess(aProcess)
    , mDataSocket(aDataSocket)
    , mBackendSocket(aBackendSocket)
    , mPeerReceiver(Transport::DatagramReceiver::kMaxDatagramBytes,
                    Transport::kMaxDatagramAge)
    , mOutput(aDataSocket, aBackendSocket, aSettings)
    , mEngine(mOutput,
              makeIdentity(aSettings, mClock.now()),
              aSettings.common.flowHashKey,
              aProcess.events(),
              aHistograms)
  {
  }

  void run()
  {
    std::array<pollfd, 2> pollEntries{
      pollfd{ mDataSocket.descriptor(), POLLIN, 0 },
      pollfd{ mBackendSocket.descriptor(), POLLIN, 0 },
    };
    while (!mProcess.stopSource().isStopRequested()) {
      poll(pollEntries.data(),
           pollEntries.size(),
           static_cast<int>(kPollTimeout.count()));
      updateView();
      const auto now = mClock.now();
      requestFlowsIfDue(now);
      receiveFromBackend(now);
      receiveData(now);
      if (mIsDrainRequested && !mEngine.isDraining()) {
        mEngine.startDraining(now);
      }
      mEngine.tick(now);
      mOutput.flush();
      publishStatistics(now);
    }
  }

  void startDraining() { mIsDrainRequested = true; }
  const AgentStatistics& statistics() const { return mStatistics; }
  /** Datagrams dropped because of their age, as after a suspension. */
  std::uint64_t staleDatagrams() const { return mPeerReceiver.staleCount(); }
  const Ownership::AgentCounters& counters() const
  {
    return mEngine.counters();
  }

private:
  void updateView()
  {
    auto& store = mProcess.store();
    const auto confirmationCount = store.confirmationCount();
    if (confirmationCount != mLastConfirmationCount) {
      mLastConfirmationCount = confirmationCount;
      mEngine.confirmView(mClock.now());
    }
    const auto generation = store.generation();
    if (generation == mLastGeneration) {
      return;
    }
    mLastGeneration = generation;
    const auto status = mEngine.activateView(store.state().view, mClock.now());
    if (!status.ok()) {
      mProcess.events().write(Telemetry::Event::ViewRefused, status.message());
      return;
    }
    mStatistics.hasView = true;
  }

  /**
   * Repeats the request until the backend server reports the flows that it
   * owns. Datagrams from balancers and other agents are not read before.
   */
  void requestFlowsIfDue(Core::TimePoint aNow)
  {
    const bool isDue = aNow - mFlowsRequestedAt >= kFlowRequestInterval;
    if (!mHasBackendFlows && mStatistics.hasView && isDue) {
      mFlowsRequestedAt = aNow;
      mOutput.requestBackendFlows();
    }
  }

  void receiveFromBackend(Core::TimePoint aNow)
  {
    mBackendReceiver.receive(mBackendSocket, [&](const auto& aDatagram) {
      const auto gue = Packet::GuePacket::parse(aDatagram);
      if (!gue.ok()) {
        return;
      }
      if (gue->content == Packet::GueContent::Ipv4Packet) {
        mEngine.handleBackendPacket(gue->body, aNow);
        return;
      }
      const auto flows = BackendLink::readBackendFlows(*gue);
      if (flows && !mHasBackendFlows) {
        mHasBackendFlows = true;
        mEngine.adoptFlows(*flows, aNow);
        mProcess.events().write(
          Telemetry::Event::FlowsAdopted,
          absl::StrCat(flows->size(), " flows owned by the backend server"));
      }
    });
  }

  void receiveData(Core::TimePoint aNow)
  {
    if (!mHasBackendFlows) {
      return;
    }
    mPeerReceiver.receive(mDataSocket, [&](const auto& aDatagram) {
      mEngine.handleDatagram(aDatagram, aNow);
    });
  }

  void publishStatistics(Core::TimePoint aNow)
  {
    if (aNow - mPublishedAt < kPublishInterval) {
      return;
    }
    mPublishedAt = aNow;
    const auto load = mEngine.load(aNow);
    mStatistics.openFlows = mEngine.openFlows();
    mStatistics.queuedFlows = mEngine.flowQueueLength();
    mStatistics.slotsInUse = load.slotsInUse;
    mStatistics.slots = load.slots;
    mStatistics.connectionsInUse = load.connectionsInUse;
    mStatistics.hasFullHistory = mEngine.hasFullHistory(aNow);
  }

  Process& mProcess;
  const Transport::UdpSocket& mDataSocket;
  const Transport::UdpSocket& mBackendSocket;
  Core::SystemClock mClock;
  Transport::DatagramReceiver mPeerReceiver;
  /** Without a maximum age, because a late reply is still useful. */
  Transport::DatagramReceiver mBackendReceiver;
  UdpAgentOutput mOutput;
  Ownership::AgentEngine<UdpAgentOutput> mEngine;
  AgentStatistics mStatistics;
  std::atomic<bool> mIsDrainRequested = false;
  std::uint64_t mLastGeneration = 0;
  std::uint64_t mLastConfirmationCount = 0;
  bool mHasBackendFlows = false;
  Core::TimePoint mFlowsRequestedAt{};
  Core::TimePoint mPublishedAt{};
};

/** Waits until all flows have ended, at most for the drain deadline. */
void
drain(Agent& aAgent, Process& aProcess)
{
  const auto view = aProcess.store().state().view;
  const auto drainTimeout = view == nullptr ? std::chrono::milliseconds(0)
                                            : view->document().drainDeadline;
  aProcess.events().write(Telemetry::Event::DrainStarted,
                          absl::StrCat(aAgent.statistics().openFlows.load(),
                                       " open flows, deadline ",
                                       drainTimeout.count(),
                                       " ms"));
  aAgent.startDraining();
  const auto deadline = std::chrono::steady_clock::now() + drainTimeout;
  // Waits until the published count includes the last admitted flow.
  aProcess.stopSource().sleepFor(kPublishInterval * 4);
  while (aAgent.statistics().openFlows > 0) {
    if (std::chrono::steady_clock::now() >= deadline) {
      aProcess.events().write(Telemetry::Event::DrainDeadline,
                              absl::StrCat(aAgent.statistics().openFlows.load(),
                                           " flows are still open"));
      return;
    }
    aProcess.stopSource().sleepFor(kPublishInterval);
  }
  aProcess.events().write(Telemetry::Event::DrainFinished,
                          "all flows have ended");
}

std::string
metricsPage(const Agent& aAgent,
            const Telemetry::HistogramSet& aHistograms,
            Process& aProcess)
{
  Telemetry::MetricsWriter writer;
  writer.counters(aAgent.counters(),
                  [](auto aCounter) { return nameOf(aCounter); });
  const auto& statistics = aAgent.statistics();
  writer.gauge("open_flows", static_cast<double>(statistics.openFlows));
  writer.counter("datagrams_stale_total", aAgent.staleDatagrams());
  writer.gauge("waiting_flows", static_cast<double>(statistics.queuedFlows));
  writer.gauge("slots_in_use", statistics.slotsInUse);
  writer.gauge("slots", statistics.slots);
  writer.gauge("connections_in_use", statistics.connectionsInUse);
  writer.gauge("view_revision",
               static_cast<double>(aProcess.store().state().revision));
  writeEvacuatedZones(aProcess.evacuatedZones(), writer);
  writer.histograms(aHistograms.summaries());
  return writer.page();
}

std::string
statusPage(const Agent& aAgent, const Process& aProcess, bool aIsDraining)
{
  Json::Value page;
  aProcess.addStatus(page);
  const auto& statistics = aAgent.statistics();
  page["ready"] = statistics.hasView && !aIsDraining;
  page["leaving"] = aIsDraining;
  page["complete"] = statistics.hasFullHistory.load();
  page["openFlows"] = Json::Value::UInt64(statistics.openFlows);
  page["waitingFlows"] = Json::Value::UInt64(statistics.queuedFlows);
  page["slotsInUse"] = statistics.slotsInUse.load();
  page["slots"] = statistics.slots.load();
  page["connectionsInUse"] = statistics.connectionsInUse.load();
  page["counters"] = counterValues(aAgent.counters());
  return formatPage(page);
}

} // namespace

absl::Status
runAgent(const Config::AgentSettings& aSettings)
{
  auto process = Process::start(aSettings.common, "agent");
  if (!process.ok()) {
    return process.status();
  }
  auto dataSocket = Transport::UdpSocket::bind(aSettings.common.data);
  if (!dataSocket.ok()) {
    return dataSocket.status();
  }
  auto backendSocket = Transport::UdpSocket::bind(aSettings.backendPort);
  if (!backendSocket.ok()) {
    return backendSocket.status();
  }
  Telemetry::HistogramSet histograms;
  if (auto status = dataSocket->enableReceiveTimestamps(); !status.ok()) {
    return status;
  }
  Agent agent(aSettings, **process, *dataSocket, *backendSocket, histograms);
  std::atomic<bool> isDraining = false;
  Telemetry::StatusPages pages;
  pages.isReady = [&] { return agent.statistics().hasView && !isDraining; };
  pages.status = [&] { return statusPage(agent, **process, isDraining); };
  pages.metrics = [&] { return metricsPage(agent, histograms, **process); };
  pages.histograms = [&] { return histogramPage(histograms); };
  auto statusServer =
    Telemetry::StatusServer::start(aSettings.common.status, pages);
  if (!statusServer.ok()) {
    return statusServer.status();
  }
  Core::Task dataTask;
  if (auto started = dataTask.start("data", [&] { agent.run(); });
      !started.ok()) {
    return started;
  }
  (*process)->waitForSignal([] { return false; });
  isDraining = true;
  drain(agent, **process);
  (*process)->stopSource().requestStop();
  dataTask.join();
  return absl::OkStatus();
}
