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

/** Between two requests to one peer, give or take a quarter. */
constexpr std::chrono::milliseconds kInterval{ 1'000 };
constexpr std::chrono::milliseconds kAnswerTimeout{ 3'000 };
constexpr std::chrono::milliseconds kStopCheckInterval{ 50 };

/** One task that asks one peer. */
class PeerTask
{
public:
  PeerTask(const ZeroMqContext& aContext,
           std::string aName,
           const Core::Endpoint& aPeer,
           ViewStore& aStore,
           Telemetry::EventLog& aEvents,
           const Core::StopSource& aStop,
           std::atomic<std::uint64_t>& aBytes)
    : mContext(aContext)
    , mName(std::move(aName))
    , mPeer(Core::formatEndpoint(aPeer))
    , mStore(aStore)
    , mEvents(aEvents)
    , mStop(aStop)
    , mBytes(aBytes)
    , mRandom(Config::identityOf(mName + mPeer))
  {
  }
  ~PeerTask()
  {
    mIsEnded = true;
    mTask.join();
  }
  PeerTask(const PeerTask&) = delete;
  PeerTask& operator=(const PeerTask&) = delete;

  absl::Status start()
  {
    return mTask.start("peer", [this] { run(); });
  }

private:
  void run()
  {
    while (isRunning()) {
      const auto status = exchangeUntilError();
      if (!status.ok() && isRunning()) {
        mEvents.write(Telemetry::Event::PeerUnreachable, status.message());
      }
      sleepFor(kInterval);
    }
  }

  bool isRunning() const { return !mIsEnded && !mStop.isStopRequested(); }

  /** A new socket after each error, so that no late answer is mixed up. */
  absl::Status exchangeUntilError()
  {
    ZeroMqSocket socket(mContext, ZMQ_DEALER);
    const auto address = "tcp://" + mPeer;
    if (zmq_connect(socket.value(), address.c_str()) != 0) {
      return socket.lastError("connect for the view", mPeer);
    }
    while (isRunning()) {
      if (auto status = ask(socket); !status.ok()) {
        return status;
      }
      std::uniform_int_distribution<int> jitter(-25, 25);
      sleepFor(kInterval + kInterval * jitter(mRandom) / 100);
    }
    return absl::OkStatus();
  }

  absl::Status ask(const ZeroMqSocket& aSocket)
  {
    const auto state = mStore.state();
    Messages::ViewRequest request;
    request.set_name(mName);
    request.set_revision(state.revision);
    request.set_digest(state.digest);
    request.set_list_index(state.listIndex);
    request.set_list_digest(state.listDigest);
    const auto text = request.SerializeAsString();
    if (zmq_send(aSocket.value(), text.data(), text.size(), 0) < 0) {
      return aSocket.lastError("ask for the view", mPeer);
    }
    mBytes += text.size();
    return receive(aSocket);
  }

  absl::Status receive(const ZeroMqSocket& aSocket)
  {
    const auto deadline = std::chrono::steady_clock::now() + kAnswerTimeout;
    zmq_pollitem_t item{ aSocket.value(), 0, ZMQ_POLLIN, 0 };
    while (zmq_poll(&item, 1, kStopCheckInterval.count()) == 0) {
      if (!isRunning()) {
        return absl::OkStatus();
      }
      if (std::chrono::steady_clock::now() > deadline) {
        return Core::withContext(
          absl::DeadlineExceededError("no answer"), "ask for the view", mPeer);
      }
    }
    zmq_msg_t message;
    zmq_msg_init(&message);
    const int n = zmq_msg_recv(&message, aSocket.value(), 0);
    Messages::ViewReply reply;
    const bool isReadable =
      n >= 0 && reply.ParseFromArray(zmq_msg_data(&message), n);
    zmq_msg_close(&message);
    if (!isReadable) {
      return Core::withContext(
        absl::DataLossError("unreadable answer"), "ask for the view", mPeer);
    }
    mBytes += static_cast<std::uint64_t>(n);
    return Core::withContext(mStore.accept(reply), "take the view over", mPeer);
  }

  void sleepFor(std::chrono::milliseconds aTime) const
  {
    const auto end = std::chrono::steady_clock::now() + aTime;
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
  std::atomic<std::uint64_t>& mBytes;
  std::mt19937_64 mRandom;
  std::atomic<bool> mIsEnded = false;
  Core::Task mTask;
};

} // namespace

class ViewExchange::Private
{
public:
  std::vector<Core::Endpoint> wantedPeers() const
  {
    const auto list = store.instances();
    std::vector<Core::Endpoint> peers;
    for (const auto& it : choosePeers(list, self)) {
      peers.push_back(it.control);
    }
    return peers.empty() ? seeds : peers;
  }

  const ZeroMqContext& context;
  SelfPlace self;
  std::vector<Core::Endpoint> seeds;
  ViewStore& store;
  Telemetry::EventLog& events;
  const Core::StopSource& stop;
  std::map<Core::Endpoint, std::unique_ptr<PeerTask>> tasks;
  std::atomic<std::size_t> peerCount = 0;
  std::atomic<std::uint64_t> bytes = 0;
};

ViewExchange::ViewExchange(const ZeroMqContext& aContext,
                           SelfPlace aSelf,
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
  const auto wanted = d->wantedPeers();
  std::erase_if(d->tasks, [&wanted](const auto& aEntry) {
    return std::find(wanted.begin(), wanted.end(), aEntry.first) ==
           wanted.end();
  });
  for (const auto& peer : wanted) {
    if (d->tasks.contains(peer)) {
      continue;
    }
    auto task = std::make_unique<PeerTask>(
      d->context, d->self.name, peer, d->store, d->events, d->stop, d->bytes);
    if (task->start().ok()) {
      d->tasks.emplace(peer, std::move(task));
    }
  }
  d->peerCount = d->tasks.size();
}

std::size_t
ViewExchange::peerCount() const
{
  return d->peerCount;
}

std::uint64_t
ViewExchange::exchangedBytes() const
{
  return d->bytes;
}

} // namespace Control
