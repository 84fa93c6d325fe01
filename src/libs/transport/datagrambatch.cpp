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

} // namespace

class DatagramReceiver::Private
{
public:
  explicit Private(std::size_t aDatagramBytes)
    : datagramBytes(aDatagramBytes)
    , buffers(kBatch * aDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { &buffers[i * datagramBytes], datagramBytes };
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &sources[i];
    }
  }

  std::size_t datagramBytes;
  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatch> parts{};
  std::array<sockaddr_in, kBatch> sources{};
  std::array<mmsghdr, kBatch> headers{};
};

DatagramReceiver::DatagramReceiver(std::size_t aDatagramBytes)
  : d(std::make_unique<Private>(aDatagramBytes))
{
}

DatagramReceiver::~DatagramReceiver() = default;

std::size_t
DatagramReceiver::receive(const UdpSocket& aSocket, const Handler& aHandler)
{
  return receive(aSocket,
                 SourceHandler([&aHandler](const auto&, const auto& aDatagram) {
                   aHandler(aDatagram);
                 }));
}

std::size_t
DatagramReceiver::receive(const UdpSocket& aSocket,
                          const SourceHandler& aHandler)
{
  for (auto& header : d->headers) {
    header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  const int n = recvmmsg(
    aSocket.descriptor(), d->headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (n <= 0) {
    return 0;
  }
  for (int i = 0; i < n; ++i) {
    const auto& header = d->headers[i];
    if ((header.msg_hdr.msg_flags & MSG_TRUNC) == 0) {
      const auto& source = d->sources[i];
      aHandler(
        { ntohl(source.sin_addr.s_addr), ntohs(source.sin_port) },
        absl::MakeConstSpan(&d->buffers[i * d->datagramBytes], header.msg_len));
    }
  }
  return static_cast<std::size_t>(n);
}

class DatagramSender::Private
{
public:
  Private(const UdpSocket& aSocket, std::size_t aDatagramBytes)
    : socket(aSocket)
    , datagramBytes(aDatagramBytes)
    , buffers(kBatch * aDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { &buffers[i * datagramBytes], 0 };
      addresses[i].sin_family = AF_INET;
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &addresses[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  const UdpSocket& socket;
  std::size_t datagramBytes;
  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatch> parts{};
  std::array<sockaddr_in, kBatch> addresses{};
  std::array<mmsghdr, kBatch> headers{};
  std::size_t queued = 0;
  std::uint64_t dropped = 0;
};

DatagramSender::DatagramSender(const UdpSocket& aSocket,
                               std::size_t aDatagramBytes)
  : d(std::make_unique<Private>(aSocket, aDatagramBytes))
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
  if (aData.size() > d->datagramBytes) {
    ++d->dropped;
    return;
  }
  if (d->queued == kBatch) {
    flush();
  }
  const auto i = d->queued++;
  std::memcpy(&d->buffers[i * d->datagramBytes], aData.data(), aData.size());
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
