#pragma once

#include "core/errorcontext.h"

#include <absl/status/statusor.h>
#include <zmq.h>

#include <string>
#include <utility>

namespace Control {

/** Owns a ZeroMQ context. */
class ZeroMqContext
{
public:
  ZeroMqContext()
    : mContext(zmq_ctx_new())
  {
  }
  ~ZeroMqContext() { zmq_ctx_term(mContext); }
  ZeroMqContext(const ZeroMqContext&) = delete;
  ZeroMqContext& operator=(const ZeroMqContext&) = delete;

  void* handle() const { return mContext; }

private:
  void* mContext;
};

/** Owns a ZeroMQ socket; used by one thread. */
class ZeroMqSocket
{
public:
  ZeroMqSocket(const ZeroMqContext& aContext, int aType)
    : mSocket(zmq_socket(aContext.handle(), aType))
  {
    // Unsent messages must not delay the end of the process.
    const int linger = 0;
    zmq_setsockopt(mSocket, ZMQ_LINGER, &linger, sizeof(linger));
  }
  ZeroMqSocket(ZeroMqSocket&& aOther) noexcept
    : mSocket(std::exchange(aOther.mSocket, nullptr))
  {
  }
  ZeroMqSocket(const ZeroMqSocket&) = delete;
  ZeroMqSocket& operator=(const ZeroMqSocket&) = delete;
  ZeroMqSocket& operator=(ZeroMqSocket&&) = delete;
  ~ZeroMqSocket()
  {
    if (mSocket != nullptr) {
      zmq_close(mSocket);
    }
  }

  void* handle() const { return mSocket; }

  absl::Status lastError(const char* aStep, const std::string& aPeer) const
  {
    return Core::withContext(
      absl::UnavailableError(zmq_strerror(zmq_errno())), aStep, aPeer);
  }

private:
  void* mSocket;
};

} // namespace Control
