#include "transport/udpsocket.h"

#include "core/errorcontext.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace Transport {

namespace {

constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

} // namespace

UdpSocket::UdpSocket(Core::FileDescriptor aDescriptor,
                     const Core::Endpoint& aEndpoint)
  : mDescriptor(std::move(aDescriptor))
  , mEndpoint(aEndpoint)
{
}

absl::StatusOr<UdpSocket>
UdpSocket::bind(const Core::Endpoint& aEndpoint)
{
  const auto peer = Core::formatEndpoint(aEndpoint);
  Core::FileDescriptor descriptor(
    socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!descriptor.isValid()) {
    return Core::lastSystemError("create a UDP socket", peer);
  }
  for (const int option : { SO_RCVBUF, SO_SNDBUF }) {
    // Failure is ignored: a smaller buffer works as well.
    setsockopt(descriptor.value(),
               SOL_SOCKET,
               option,
               &kSocketBufferBytes,
               sizeof(kSocketBufferBytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.address);
  address.sin_port = htons(aEndpoint.port);
  if (::bind(descriptor.value(),
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    return Core::lastSystemError("bind a UDP socket", peer);
  }
  return UdpSocket(std::move(descriptor), aEndpoint);
}

absl::Status
UdpSocket::enableReceiveTimestamps()
{
  constexpr int kEnabled = 1;
  if (setsockopt(descriptor(),
                 SOL_SOCKET,
                 SO_TIMESTAMPNS,
                 &kEnabled,
                 sizeof(kEnabled)) != 0) {
    return Core::lastSystemError("enable receive timestamps on a UDP socket",
                                 Core::formatEndpoint(mEndpoint));
  }
  return absl::OkStatus();
}

} // namespace Transport
