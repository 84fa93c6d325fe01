#include "transport/datagrambatch.h"

#include "transport/udpsocket.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <vector>

namespace Transport {

namespace {

constexpr std::size_t kBatch = DatagramReceiver::kBatch;
constexpr std::size_t kDatagramBytes = DatagramReceiver::kDatagramBytes;

} // namespace

class DatagramReceiver::Private
{
public:
  Private()
    : buffers(kBatch * kDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { &buffers[i * kDatagramBytes], kDatagramBytes };
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
  }

  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatch> parts{};
  std::array<mmsghdr, kBatch> headers{};
};

DatagramReceiver::DatagramReceiver()
  : d(std::make_unique<Private>())
{
}

DatagramReceiver::~DatagramReceiver() = default;

std::size_t
DatagramReceiver::receive(const UdpSocket& aSocket, const Handler& aHandler)
{
  const int n = recvmmsg(
    aSocket.descriptor(), d->headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (n <= 0) {
    return 0;
  }
  for (int i = 0; i < n; ++i) {
    const auto& header = d->headers[i];
    if ((header.msg_hdr.msg_flags & MSG_TRUNC) == 0) {
      aHandler(
        absl::MakeConstSpan(&d->buffers[i * kDatagramBytes], header.msg_len));
    }
  }
  return static_cast<std::size_t>(n);
}

class DatagramSender::Private
{
public:
  explicit Private(const UdpSocket& aSocket)
    : socket(aSocket)
    , buffers(kBatch * kDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { &buffers[i * kDatagramBytes], 0 };
      addresses[i].sin_family = AF_INET;
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &addresses[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  const UdpSocket& socket;
  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatch> parts{};
  std::array<sockaddr_in, kBatch> addresses{};
  std::array<mmsghdr, kBatch> headers{};
  std::size_t queued = 0;
  std::uint64_t dropped = 0;
};

DatagramSender::DatagramSender(const UdpSocket& aSocket)
  : d(std::make_unique<Private>(aSocket))
{
}

DatagramSender::~DatagramSender()
{
  flush();
}

void
DatagramSender::send(const Core::Endpoint& aTo,
                     absl::Span<const std::uint8_t> aData)
{
  if (aData.size() > kDatagramBytes) {
    ++d->dropped;
    return;
  }
  if (d->queued == kBatch) {
    flush();
  }
  const auto i = d->queued++;
  std::memcpy(&d->buffers[i * kDatagramBytes], aData.data(), aData.size());
  d->parts[i].iov_len = aData.size();
  d->addresses[i].sin_addr.s_addr = htonl(aTo.address);
  d->addresses[i].sin_port = htons(aTo.port);
}

void
DatagramSender::flush()
{
  std::size_t sent = 0;
  while (sent < d->queued) {
    const int n = sendmmsg(d->socket.descriptor(),
                           &d->headers[sent],
                           static_cast<unsigned>(d->queued - sent),
                           MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (errno != EINTR) {
      // The first of the rest cannot be sent; the others still may.
      ++sent;
      ++d->dropped;
    }
  }
  d->queued = 0;
}

std::uint64_t
DatagramSender::droppedCount() const
{
  return d->dropped;
}

} // namespace Transport
