#include "control/viewexchange.h"

#include "control/viewstore.h"
#include "control/zeromqsocket.h"
#include "core/stopsource.h"
#include "core/task.h"
#include "messages/peermessages.pb.h"
#include "telemetry/eventlog.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <chrono>
#include <map>
#include <random>

namespace Control {

namespace {

/** Average time between two requests to one peer; it varies by up to 25 %. */
constexpr std::chrono::milliseconds kRequestInterval{ 1'000 };
constexpr std::chrono::milliseconds kReplyTimeout{ 3'000 };
constexpr std::chrono::milliseconds kStopCheckInterval{ 50 };

/** Polls one peer on its own thread. */
class PeerPoller
{
public:
  PeerPoller(const ZeroMqContext& aContext,
             std::string aName,
             const Core::Endpoint& aPeer,
             ViewStore& aStore,
             Telemetry::EventLog& aEvents,
             const Core::StopSource& aStop,
             std::atomic<std::uint64_t>& aExchangedBytes)
    : mContext(aContext)
    , mName(std::move(aName))
    , mPeer(Core::formatEndpoint(aPeer))
    , mStore(aStore)
    , mEvents(aEvents)
    , mStop(aStop)
    , mExchangedBytes(aExchangedBytes)
    , mRandom(Config::identityOf(mName + mPeer))
  {
  }
  ~PeerPoller()
  {
    mIsStopping = true;
    mTask.join();
  }
  PeerPoller(const PeerPoller&) = delete;
  PeerPoller& operator=(const PeerPoller&) = delete;

  absl::Status start()
  {
    return mTask.start("peer", [this] { run(); });
  }

private:
  void run()
  {
    while (isRunning()) {
      const auto status = pollUntilError();
      if (!status.ok() && isRunning()) {
        mEvents.write(Telemetry::Event::PeerUnreachable, status.message());
      }
      sleepFor(kRequestInterval);
    }
  }

  bool isRunning() const { return !mIsStopping && !mStop.isStopRequested(); }

  /**
   * Polls on a new socket, so that replies to requests made before an error are
   * dropped.
   */
  absl::Status pollUntilError()
  {
    ZeroMqSocket socket(mContext, ZMQ_DEALER);
    const auto address = "tcp://" + mPeer;
    if (zmq_connect(socket.handle(), address.c_str()) != 0) {
      return socket.lastError("connect to a peer", mPeer);
    }
    while (isRunning()) {
      if (auto status = requestView(socket); !status.ok()) {
        return status;
      }
      std::uniform_int_distribution<int> jitter(-25, 25);
      sleepFor(kRequestInterval + kRequestInterval * jitter(mRandom) / 100);
    }
    return absl::OkStatus();
  }

  absl::Status requestView(const ZeroMqSocket& aSocket)
  {
    const auto state = mStore.state();
    Messages::ViewRequest request;
    request.set_name(mName);
    request.set_revision(state.revision);
    request.set_digest(state.digest);
    request.set_list_index(state.listIndex);
    request.set_list_digest(state.listDigest);
    const auto data = request.SerializeAsString();
    if (zmq_send(aSocket.handle(), data.data(), data.size(), 0) < 0) {
      return aSocket.lastError("request the view", mPeer);
    }
    mExchangedBytes += data.size();
    return receiveReply(aSocket);
  }

  absl::Status receiveReply(const ZeroMqSocket& aSocket)
  {
    const auto deadline = std::chrono::steady_clock::now() + kReplyTimeout;
    zmq_pollitem_t item{ aSocket.handle(), 0, ZMQ_POLLIN, 0 };
    while (zmq_poll(&item, 1, kStopCheckInterval.count()) == 0) {
      if (!isRunning()) {
        return absl::OkStatus();
      }
      if (std::chrono::steady_clock::now() > deadline) {
        return Core::withContext(
          absl::DeadlineExceededError("no reply"), "request the view", mPeer);
      }
    }
    zmq_msg_t message;
    zmq_msg_init(&message);
    const int size = zmq_msg_recv(&message, aSocket.handle(), 0);
    Messages::ViewReply reply;
    const bool isValid =
      size >= 0 && reply.ParseFromArray(zmq_msg_data(&message), size);
    zmq_msg_close(&message);
    if (!isValid) {
      return Core::withContext(
        absl::DataLossError("malformed reply"), "request the view", mPeer);
    }
    mExchangedBytes += static_cast<std::uint64_t>(size);
    return Core::withContext(mStore.applyReply(reply), "apply the view", mPeer);
  }

  void sleepFor(std::chrono::milliseconds aDuration) const
  {
    const auto end = std::chrono::steady_clock::now() + aDuration;
    while (isRunning() && std::chrono::steady_clock::now() < end) {
      mStop.sleepFor(kStopCheckInterval);
    }
  }

  const ZeroMqContext& mContext;
  std::string mName;
  std::string mPeer;
  ViewStore& mStore;
  Telemetry::EventLog& mEvents;
  const Core::StopSource& mStop;
  std::atomic<std::uint64_t>& mExchangedBytes;
  std::mt19937_64 mRandom;
  std::atomic<bool> mIsStopping = false;
  Core::Task mTask;
};

} // namespace

class ViewExchange::Private
{
public:
  std::vector<Core::Endpoint> selectPeers() const
  {
    const auto instances = store.instances();
    std::vector<Core::Endpoint> peers;
    for (const auto& instance : choosePeers(instances, self)) {
      peers.push_back(instance.control);
    }
    return peers.empty() ? seeds : peers;
  }

  const ZeroMqContext& context;
  LocalInstance self;
  std::vector<Core::Endpoint> seeds;
  ViewStore& store;
  Telemetry::EventLog& events;
  const Core::StopSource& stop;
  std::map<Core::Endpoint, std::unique_ptr<PeerPoller>> pollers;
  std::atomic<std::size_t> peerCount = 0;
  std::atomic<std::uint64_t> exchangedBytes = 0;
};

ViewExchange::ViewExchange(const ZeroMqContext& aContext,
                           LocalInstance aSelf,
                           std::vector<Core::Endpoint> aSeeds,
                           ViewStore& aStore,
                           Telemetry::EventLog& aEvents,
                           const Core::StopSource& aStop)
  : d(new Private{ aContext,
                   std::move(aSelf),
                   std::move(aSeeds),
                   aStore,
                   aEvents,
                   aStop,
                   {},
                   0,
                   0 })
{
}

ViewExchange::~ViewExchange() = default;

void
ViewExchange::update()
{
  const auto peers = d->selectPeers();
  std::erase_if(d->pollers, [&peers](const auto& aEntry) {
    return std::find(peers.begin(), peers.end(), aEntry.first) == peers.end();
  });
  for (const auto& peer : peers) {
    if (d->pollers.contains(peer)) {
      continue;
    }
    auto poller = std::make_unique<PeerPoller>(d->context,
                                               d->self.name,
                                               peer,
                                               d->store,
                                               d->events,
                                               d->stop,
                                               d->exchangedBytes);
    if (poller->start().ok()) {
      d->pollers.emplace(peer, std::move(poller));
    }
  }
  d->peerCount = d->pollers.size();
}

std::size_t
ViewExchange::peerCount() const
{
  return d->peerCount;
}

std::uint64_t
ViewExchange::exchangedBytes() const
{
  return d->exchangedBytes;
}

} // namespace Control
