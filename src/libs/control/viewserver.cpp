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

constexpr std::size_t kMaximumRequestBytes = 4096;
constexpr std::size_t kMaximumIdentityBytes = 256;
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
    while (!isEnded && !stop.isStopRequested()) {
      zmq_pollitem_t item{ socket.value(), 0, ZMQ_POLLIN, 0 };
      if (zmq_poll(&item, 1, kStopCheckInterval.count()) > 0) {
        answerOne();
      }
    }
  }

  /** A request has two parts: the asker's identity and the message. */
  void answerOne()
  {
    std::array<char, kMaximumIdentityBytes> identity{};
    std::array<char, kMaximumRequestBytes> body{};
    const int n = zmq_recv(socket.value(), identity.data(), identity.size(), 0);
    int hasMore = 0;
    std::size_t size = sizeof(hasMore);
    zmq_getsockopt(socket.value(), ZMQ_RCVMORE, &hasMore, &size);
    if (n <= 0 || hasMore == 0) {
      return;
    }
    const int length = zmq_recv(socket.value(), body.data(), body.size(), 0);
    Messages::ViewRequest request;
    const bool isReadable = length >= 0 &&
                            length <= static_cast<int>(body.size()) &&
                            request.ParseFromArray(body.data(), length);
    if (!isReadable) {
      return;
    }
    auto reply = store.answer(request);
    reply.set_name(name);
    const auto text = reply.SerializeAsString();
    zmq_send(socket.value(), identity.data(), n, ZMQ_SNDMORE);
    zmq_send(socket.value(), text.data(), text.size(), ZMQ_DONTWAIT);
    sentBytes += text.size();
  }

  ZeroMqSocket socket;
  std::string name;
  const ViewStore& store;
  const Core::StopSource& stop;
  std::atomic<std::uint64_t> sentBytes = 0;
  std::atomic<bool> isEnded = false;
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
  if (zmq_bind(socket.value(), address.c_str()) != 0) {
    return socket.lastError("bind the view server", address);
  }
  auto d = std::make_unique<Private>(std::move(socket), aName, aStore, aStop);
  auto* const body = d.get();
  if (auto status = d->task.start("view-server", [body] { body->run(); });
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
  d->isEnded = true;
}

std::uint64_t
ViewServer::sentBytes() const
{
  return d->sentBytes;
}

} // namespace Control
