#include "balancer.h"

#include "process.h"
#include "statuspage.h"

#include "balancing/balancerengine.h"
#include "core/systemclock.h"
#include "core/task.h"
#include "telemetry/metricswriter.h"
#include "telemetry/statusserver.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <poll.h>

#include <atomic>

namespace {

constexpr std::chrono::milliseconds kPollTimeout{ 10 };

/** The data thread of a balancer, which handles all of its packets. */
class Balancer
{
public:
  Balancer(const Config::BalancerSettings& aSettings,
           Process& aProcess,
           const Transport::UdpSocket& aSocket)
    : mProcess(aProcess)
    , mSocket(aSocket)
    , mReceiver(Transport::DatagramReceiver::kMaxDatagramBytes,
                Transport::kMaxDatagramAge)
    , mSender(aSocket,
              Transport::DatagramReceiver::kMaxDatagramBytes,
              Transport::kMaxDatagramAge)
    , mEngine(mSender, aSettings.common.data, aSettings.common.flowHashKey)
  {
  }

  void run()
  {
    pollfd pollEntry{ mSocket.descriptor(), POLLIN, 0 };
    while (!mProcess.stopSource().isStopRequested()) {
      poll(&pollEntry, 1, static_cast<int>(kPollTimeout.count()));
      updateView();
      const auto now = mClock.now();
      while (mReceiver.receive(mSocket, [&](const auto& aDatagram) {
        mEngine.handleDatagram(aDatagram, now);
      }) == Transport::DatagramReceiver::kBatchSize) {
        mSender.flush();
      }
      mSender.flush();
    }
  }

  bool hasView() const { return mHasView; }
  /** Datagrams dropped because of their age, as after a suspension. */
  std::uint64_t staleDatagrams() const { return mReceiver.staleCount(); }
  const Balancing::BalancerCounters& counters() const
  {
    return mEngine.counters();
  }

private:
  void updateView()
  {
    const auto generation = mProcess.store().generation();
    if (generation == mLastGeneration) {
      return;
    }
    mLastGeneration = generation;
    const auto status =
      mEngine.activateView(mProcess.store().state().view, mClock.now());
    if (!status.ok()) {
      mProcess.events().write(Telemetry::Event::ViewRefused, status.message());
      return;
    }
    mHasView = true;
  }

  Process& mProcess;
  const Transport::UdpSocket& mSocket;
  Core::SystemClock mClock;
  Transport::DatagramReceiver mReceiver;
  Transport::DatagramSender mSender;
  Balancing::BalancerEngine<Transport::DatagramSender> mEngine;
  std::uint64_t mLastGeneration = 0;
  std::atomic<bool> mHasView = false;
};

} // namespace

absl::Status
runBalancer(const Config::BalancerSettings& aSettings)
{
  auto process = Process::start(aSettings.common, "balancer");
  if (!process.ok()) {
    return process.status();
  }
  auto socket = Transport::UdpSocket::bind(aSettings.common.data);
  if (!socket.ok()) {
    return socket.status();
  }
  if (auto status = socket->enableReceiveTimestamps(); !status.ok()) {
    return status;
  }
  Balancer balancer(aSettings, **process, *socket);
  std::atomic<bool> isStopping = false;
  Telemetry::StatusPages pages;
  pages.isReady = [&] { return balancer.hasView() && !isStopping; };
  pages.status = [&] {
    Json::Value page;
    (*process)->addStatus(page);
    page["ready"] = pages.isReady();
    page["leaving"] = isStopping.load();
    page["counters"] = counterValues(balancer.counters());
    return formatPage(page);
  };
  pages.metrics = [&] {
    Telemetry::MetricsWriter writer;
    writer.counters(balancer.counters(),
                    [](auto aCounter) { return nameOf(aCounter); });
    writer.counter("datagrams_stale_total", balancer.staleDatagrams());
    writer.gauge("view_revision",
                 static_cast<double>((*process)->store().state().revision));
    writeEvacuatedZones((*process)->evacuatedZones(), writer);
    return writer.page();
  };
  pages.histograms = [] { return std::string("[]\n"); };
  auto statusServer =
    Telemetry::StatusServer::start(aSettings.common.status, pages);
  if (!statusServer.ok()) {
    return statusServer.status();
  }
  Core::Task dataTask;
  if (auto started = dataTask.start("data", [&] { balancer.run(); });
      !started.ok()) {
    return started;
  }
  (*process)->waitForSignal([] { return false; });
  // The fabric may send packets for a while after readiness checks fail.
  isStopping = true;
  (*process)->stopSource().sleepFor(aSettings.stopDelay);
  (*process)->stopSource().requestStop();
  dataTask.join();
  return absl::OkStatus();
}
