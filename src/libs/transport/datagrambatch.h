#pragma once

#include "core/endpoint.h"

#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Transport {

class UdpSocket;

/**
 * For users of DatagramReceiver and DatagramSender that must not act on old
 * packets: a datagram that spent longer in the process is dropped. A process
 * that keeps up reads within milliseconds; one that was stopped or suspended
 * finds packets that others have handled in the meantime. A tenth of the
 * shortest replay window in use, 2 s, and some room.
 */
constexpr std::chrono::milliseconds kLongestWait{ 250 };

/** Receives datagrams many at a time. */
class DatagramReceiver
{
public:
  static constexpr std::size_t kBatch = 64;
  static constexpr std::size_t kDatagramBytes = 9216;

  using Handler = std::function<void(absl::Span<const std::uint8_t>)>;
  /** Also told who sent the datagram. */
  using SourceHandler =
    std::function<void(const Core::Endpoint&, absl::Span<const std::uint8_t>)>;

  /**
   * Datagrams longer than aDatagramBytes are left out, and so are those that
   * waited longer than aLongestWait in a socket that tells arrival times.
   */
  explicit DatagramReceiver(
    std::size_t aDatagramBytes = kDatagramBytes,
    std::optional<std::chrono::milliseconds> aLongestWait = std::nullopt);
  ~DatagramReceiver();
  DatagramReceiver(const DatagramReceiver&) = delete;
  DatagramReceiver& operator=(const DatagramReceiver&) = delete;

  /**
   * Hands over at most one batch of what waits in the socket, and returns how
   * many datagrams that were.
   */
  std::size_t receive(const UdpSocket& aSocket, const Handler& aHandler);
  std::size_t receive(const UdpSocket& aSocket, const SourceHandler& aHandler);
  /** Datagrams left out since they had waited for too long. */
  std::uint64_t staleCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

/**
 * Collects datagrams and sends them many at a time. What the socket does not
 * take is dropped and counted, as a network would.
 */
class DatagramSender
{
public:
  /**
   * Datagrams longer than aDatagramBytes are dropped, and so are those that
   * were not flushed for longer than aLongestWait.
   */
  explicit DatagramSender(
    const UdpSocket& aSocket,
    std::size_t aDatagramBytes = DatagramReceiver::kDatagramBytes,
    std::optional<std::chrono::milliseconds> aLongestWait = std::nullopt);
  ~DatagramSender();
  DatagramSender(const DatagramSender&) = delete;
  DatagramSender& operator=(const DatagramSender&) = delete;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData);
  void flush();
  std::uint64_t droppedCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Transport
