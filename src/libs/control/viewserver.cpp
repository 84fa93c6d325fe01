#include "control/viewserver.h"

#include "control/viewstore.h"
#include "control/zeromqsocket.h"
#include "core/stopsource.h"
#include "core/task.h"
#include "messages/peermessages.pb.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <atomic>

namespace Control {

namespace {

constexpr std::size_t kMaxRequestBytes = 4096;
constexpr std::size_t kMaxIdentityBytes = 256;
constexpr std::chrono::milliseconds kStopCheckInterval{ 100 };

} // namespace

class ViewServer::Private
{
public:
  Private(ZeroMqSocket aSocket,
          std::string aName,
          const ViewStore& aStore,
          const Core::StopSource& aStop)
    : socket(std::move(aSocket))
    , name(std::move(aName))
    , store(aStore)
    , stop(aStop)
  {
  }

  void run()
  {
    while (!isStopping && !stop.isStopRequested()) {
      zmq_pollitem_t item{ socket.handle(), 0, ZMQ_POLLIN, 0 };
      if (zmq_poll(&item, 1, kStopCheckInterval.count()) > 0) {
        handleRequest();
      }
    }
  }

  /** A request has two parts: the peer's ZeroMQ identity and the message. */
  void handleRequest()
  {
    std::array<char, kMaxIdentityBytes> identity{};
    std::array<char, kMaxRequestBytes> body{};
    const int identitySize =
      zmq_recv(socket.handle(), identity.data(), identity.size(), 0);
    int hasMore = 0;
    std::size_t hasMoreSize = sizeof(hasMore);
    zmq_getsockopt(socket.handle(), ZMQ_RCVMORE, &hasMore, &hasMoreSize);
    if (identitySize <= 0 || hasMore == 0) {
      return;
    }
    const int bodySize = zmq_recv(socket.handle(), body.data(), body.size(), 0);
    Messages::ViewRequest request;
    const bool isValid = bodySize >= 0 &&
                         bodySize <= static_cast<int>(body.size()) &&
                         request.ParseFromArray(body.data(), bodySize);
    if (!isValid) {
      return;
    }
    auto reply = store.createReply(request);
    reply.set_name(name);
    const auto data = reply.SerializeAsString();
    zmq_send(socket.handle(), identity.data(), identitySize, ZMQ_SNDMORE);
    zmq_send(socket.handle(), data.data(), data.size(), ZMQ_DONTWAIT);
    sentBytes += data.size();
  }

  ZeroMqSocket socket;
  std::string name;
  const ViewStore& store;
  const Core::StopSource& stop;
  std::atomic<std::uint64_t> sentBytes = 0;
  std::atomic<bool> isStopping = false;
  Core::Task task;
};

absl::StatusOr<std::unique_ptr<ViewServer>>
ViewServer::start(const ZeroMqContext& aContext,
                  const Core::Endpoint& aEndpoint,
                  const std::string& aName,
                  const ViewStore& aStore,
                  const Core::StopSource& aStop)
{
  ZeroMqSocket socket(aContext, ZMQ_ROUTER);
  const auto address = absl::StrCat("tcp://", Core::formatEndpoint(aEndpoint));
  if (zmq_bind(socket.handle(), address.c_str()) != 0) {
    return socket.lastError("bind the view server", address);
  }
  auto d = std::make_unique<Private>(std::move(socket), aName, aStore, aStop);
  auto* const p = d.get();
  if (auto status = d->task.start("view-server", [p] { p->run(); });
      !status.ok()) {
    return status;
  }
  return std::unique_ptr<ViewServer>(new ViewServer(std::move(d)));
}

ViewServer::ViewServer(std::unique_ptr<Private> aPrivate)
  : d(std::move(aPrivate))
{
}

ViewServer::~ViewServer()
{
  d->isStopping = true;
}

std::uint64_t
ViewServer::sentBytes() const
{
  return d->sentBytes;
}

} // namespace Control
