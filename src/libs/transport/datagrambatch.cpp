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

constexpr std::size_t kBatchSize = DatagramReceiver::kBatchSize;
/** Space for one receive timestamp. */
constexpr std::size_t kControlBytes = CMSG_SPACE(sizeof(timespec));

std::chrono::nanoseconds
toDuration(const timespec& aTime)
{
  return std::chrono::seconds(aTime.tv_sec) +
         std::chrono::nanoseconds(aTime.tv_nsec);
}

/** Time since the kernel received a datagram, if it has a timestamp. */
std::optional<std::chrono::nanoseconds>
datagramAge(msghdr& aHeader)
{
  for (auto* it = CMSG_FIRSTHDR(&aHeader); it != nullptr;
       it = CMSG_NXTHDR(&aHeader, it)) {
    if (it->cmsg_level == SOL_SOCKET && it->cmsg_type == SO_TIMESTAMPNS) {
      timespec receivedAt{};
      std::memcpy(&receivedAt, CMSG_DATA(it), sizeof(receivedAt));
      timespec now{};
      clock_gettime(CLOCK_REALTIME, &now);
      return toDuration(now) - toDuration(receivedAt);
    }
  }
  return std::nullopt;
}

} // namespace

class DatagramReceiver::Private
{
public:
  Private(std::size_t aMaxDatagramBytes,
          std::optional<std::chrono::milliseconds> aMaxAge)
    : maxDatagramBytes(aMaxDatagramBytes)
    , maxAge(aMaxAge)
    , buffers(kBatchSize * aMaxDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      ioVectors[i] = { &buffers[i * maxDatagramBytes], maxDatagramBytes };
      headers[i].msg_hdr.msg_control =
        maxAge ? controls[i].bytes.data() : nullptr;
      headers[i].msg_hdr.msg_iov = &ioVectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &sources[i];
    }
  }

  bool isStale(msghdr& aHeader) const
  {
    if (!maxAge) {
      return false;
    }
    // If the clock was set back, the age of an old datagram may be negative.
    const auto age = datagramAge(aHeader);
    return age && std::chrono::abs(*age) > *maxAge;
  }

  struct Control
  {
    alignas(cmsghdr) std::array<std::uint8_t, kControlBytes> bytes;
  };

  std::size_t maxDatagramBytes;
  std::optional<std::chrono::milliseconds> maxAge;
  /** Atomic, since other threads read it too. */
  std::atomic<std::uint64_t> staleCount = 0;
  std::vector<std::uint8_t> buffers;
  std::array<Control, kBatchSize> controls{};
  std::array<iovec, kBatchSize> ioVectors{};
  std::array<sockaddr_in, kBatchSize> sources{};
  std::array<mmsghdr, kBatchSize> headers{};
};

DatagramReceiver::DatagramReceiver(
  std::size_t aMaxDatagramBytes,
  std::optional<std::chrono::milliseconds> aMaxAge)
  : d(std::make_unique<Private>(aMaxDatagramBytes, aMaxAge))
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
    header.msg_hdr.msg_controllen = d->maxAge ? kControlBytes : 0;
  }
  const int n = recvmmsg(
    aSocket.descriptor(), d->headers.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  if (n <= 0) {
    return 0;
  }
  for (int i = 0; i < n; ++i) {
    auto& header = d->headers[i];
    if (d->isStale(header.msg_hdr)) {
      ++d->staleCount;
    } else if ((header.msg_hdr.msg_flags & MSG_TRUNC) == 0) {
      const auto& source = d->sources[i];
      aHandler({ ntohl(source.sin_addr.s_addr), ntohs(source.sin_port) },
               absl::MakeConstSpan(&d->buffers[i * d->maxDatagramBytes],
                                   header.msg_len));
    }
  }
  return static_cast<std::size_t>(n);
}

std::uint64_t
DatagramReceiver::staleCount() const
{
  return d->staleCount;
}

class DatagramSender::Private
{
public:
  Private(const UdpSocket& aSocket,
          std::size_t aMaxDatagramBytes,
          std::optional<std::chrono::milliseconds> aMaxAge)
    : socket(aSocket)
    , maxDatagramBytes(aMaxDatagramBytes)
    , maxAge(aMaxAge)
    , buffers(kBatchSize * aMaxDatagramBytes)
  {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      ioVectors[i] = { &buffers[i * maxDatagramBytes], 0 };
      addresses[i].sin_family = AF_INET;
      headers[i].msg_hdr.msg_iov = &ioVectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &addresses[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  /**
   * True if the batch was queued for longer than maxAge, which happens if the
   * process was stopped or suspended.
   */
  bool isStale() const { return maxAge && clock.now() - queuedAt > *maxAge; }

  const UdpSocket& socket;
  std::size_t maxDatagramBytes;
  std::optional<std::chrono::milliseconds> maxAge;
  Core::SystemClock clock;
  /** When the first datagram of the batch was queued. */
  Core::TimePoint queuedAt{};
  std::vector<std::uint8_t> buffers;
  std::array<iovec, kBatchSize> ioVectors{};
  std::array<sockaddr_in, kBatchSize> addresses{};
  std::array<mmsghdr, kBatchSize> headers{};
  std::size_t queuedCount = 0;
  std::uint64_t droppedCount = 0;
};

DatagramSender::DatagramSender(const UdpSocket& aSocket,
                               std::size_t aMaxDatagramBytes,
                               std::optional<std::chrono::milliseconds> aMaxAge)
  : d(std::make_unique<Private>(aSocket, aMaxDatagramBytes, aMaxAge))
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
  if (aData.size() > d->maxDatagramBytes) {
    ++d->droppedCount;
    return;
  }
  if (d->queuedCount == kBatchSize) {
    flush();
  }
  if (d->queuedCount == 0 && d->maxAge) {
    d->queuedAt = d->clock.now();
  }
  const auto i = d->queuedCount++;
  std::memcpy(&d->buffers[i * d->maxDatagramBytes], aData.data(), aData.size());
  d->ioVectors[i].iov_len = aData.size();
  d->addresses[i].sin_addr.s_addr = htonl(aTo.address);
  d->addresses[i].sin_port = htons(aTo.port);
}

void
DatagramSender::flush()
{
  if (d->queuedCount > 0 && d->isStale()) {
    d->droppedCount += d->queuedCount;
    d->queuedCount = 0;
  }
  std::size_t sent = 0;
  while (sent < d->queuedCount) {
    const int n = sendmmsg(d->socket.descriptor(),
                           &d->headers[sent],
                           static_cast<unsigned>(d->queuedCount - sent),
                           MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (errno != EINTR) {
      // Drops the first of the remaining datagrams, which cannot be sent. The
      // others may still be sent.
      ++sent;
      ++d->droppedCount;
    }
  }
  d->queuedCount = 0;
}

std::uint64_t
DatagramSender::droppedCount() const
{
  return d->droppedCount;
}

} // namespace Transport
