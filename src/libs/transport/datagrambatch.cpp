#include "transport/datagrambatch.h"

#include "transport/udpsocket.h"

#include "core/systemclock.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <vector>

namespace Transport {

namespace {

constexpr std::size_t kBatch = DatagramReceiver::kBatch;
/** Room for one arrival time. */
constexpr std::size_t kControlBytes = CMSG_SPACE(sizeof(timespec));

std::chrono::nanoseconds
durationOf(const timespec& aTime)
{
  return std::chrono::seconds(aTime.tv_sec) +
         std::chrono::nanoseconds(aTime.tv_nsec);
}

/** How long ago the kernel got a datagram; nothing where it did not say. */
std::optional<std::chrono::nanoseconds>
ageOf(msghdr& aHeader)
{
  for (auto* it = CMSG_FIRSTHDR(&aHeader); it != nullptr;
       it = CMSG_NXTHDR(&aHeader, it)) {
    if (it->cmsg_level == SOL_SOCKET && it->cmsg_type == SO_TIMESTAMPNS) {
      timespec arrived{};
      std::memcpy(&arrived, CMSG_DATA(it), sizeof(arrived));
      timespec now{};
      clock_gettime(CLOCK_REALTIME, &now);
      return durationOf(now) - durationOf(arrived);
    }
  }
  return std::nullopt;
}

} // namespace

class DatagramReceiver::Private
{
public:
  Private(std::size_t aDatagramBytes,
          std::optional<std::chrono::milliseconds> aLongestWait)
    : datagramBytes(aDatagramBytes)
    , longestWait(aLongestWait)
    , buffers(kBatch * aDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatch; ++i) {
      parts[i] = { &buffers[i * datagramBytes], datagramBytes };
      headers[i].msg_hdr.msg_control =
        longestWait ? controls[i].bytes.data() : nullptr;
      headers[i].msg_hdr.msg_iov = &parts[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &sources[i];
    }
  }

  bool isStale(msghdr& aHeader) const
  {
    if (!longestWait) {
      return false;
    }
    // A step of the clock must not make an old datagram a new one.
    const auto age = ageOf(aHeader);
    return age && std::chrono::abs(*age) > *longestWait;
  }

  struct Control
  {
    alignas(cmsghdr) std::array<std::uint8_t, kControlBytes> bytes;
  };

  std::size_t datagramBytes;
  std::optional<std::chrono::milliseconds> longestWait;
  /** Read by other tasks as well. */
  std::atomic<std::uint64_t> stale = 0;
  std::vector<std::uint8_t> buffers;
  std::array<Control, kBatch> controls{};
  std::array<iovec, kBatch> parts{};
  std::array<sockaddr_in, kBatch> sources{};
  std::array<mmsghdr, kBatch> headers{};
};

DatagramReceiver::DatagramReceiver(
  std::size_t aDatagramBytes,
  std::optional<std::chrono::milliseconds> aLongestWait)
  : d(std::make_unique<Private>(aDatagramBytes, aLongestWait))
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
    header.msg_hdr.msg_controllen = d->longestWait ? kControlBytes : 0;
  }
  const int n = recvmmsg(
    aSocket.descriptor(), d->headers.data(), kBatch, MSG_DONTWAIT, nullptr);
  if (n <= 0) {
    return 0;
  }
  for (int i = 0; i < n; ++i) {
    auto& header = d->headers[i];
    if (d->isStale(header.msg_hdr)) {
      ++d->stale;
    } else if ((header.msg_hdr.msg_flags & MSG_TRUNC) == 0) {
      const auto& source = d->sources[i];
      aHandler(
        { ntohl(source.sin_addr.s_addr), ntohs(source.sin_port) },
        absl::MakeConstSpan(&d->buffers[i * d->datagramBytes], header.msg_len));
    }
  }
  return static_cast<std::size_t>(n);
}

std::uint64_t
DatagramReceiver::staleCount() const
{
  return d->stale;
}

class DatagramSender::Private
{
public:
  Private(const UdpSocket& aSocket,
          std::size_t aDatagramBytes,
          std::optional<std::chrono::milliseconds> aLongestWait)
    : socket(aSocket)
    , datagramBytes(aDatagramBytes)
    , longestWait(aLongestWait)
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

  /** True when the process slept since the first one was queued. */
  bool isStale() const
  {
    return longestWait && clock.now() - queuedAt > *longestWait;
  }

  const UdpSocket& socket;
  std::size_t datagramBytes;
  std::optional<std::chrono::milliseconds> longestWait;
  Core::SystemClock clock;
  /** When the first one was queued. */
  Core::TimePoint queuedAt{};
  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatch> parts{};
  std::array<sockaddr_in, kBatch> addresses{};
  std::array<mmsghdr, kBatch> headers{};
  std::size_t queued = 0;
  std::uint64_t dropped = 0;
};

DatagramSender::DatagramSender(
  const UdpSocket& aSocket,
  std::size_t aDatagramBytes,
  std::optional<std::chrono::milliseconds> aLongestWait)
  : d(std::make_unique<Private>(aSocket, aDatagramBytes, aLongestWait))
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
  if (d->queued == 0 && d->longestWait) {
    d->queuedAt = d->clock.now();
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
  if (d->queued > 0 && d->isStale()) {
    d->dropped += d->queued;
    d->queued = 0;
  }
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
