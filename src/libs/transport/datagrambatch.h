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
 * Maximum age of a datagram in a socket or a send queue, for processes that
 * must not act on old packets. A process that keeps up reads datagrams within
 * milliseconds. One that was stopped or suspended finds packets that other
 * processes have handled in the meantime. The value is a tenth of the shortest
 * replay window in use, 2 s, plus a margin.
 */
constexpr std::chrono::milliseconds kMaxDatagramAge{ 250 };

/** Receives datagrams in batches. */
class DatagramReceiver
{
public:
  static constexpr std::size_t kBatchSize = 64;
  static constexpr std::size_t kMaxDatagramBytes = 9216;

  using Handler = std::function<void(absl::Span<const std::uint8_t>)>;
  /** Also receives the endpoint that sent the datagram. */
  using SourceHandler =
    std::function<void(const Core::Endpoint&, absl::Span<const std::uint8_t>)>;

  /**
   * Drops datagrams longer than aMaxDatagramBytes, and those that spent longer
   * than aMaxAge in a socket that has receive timestamps.
   */
  explicit DatagramReceiver(
    std::size_t aMaxDatagramBytes = kMaxDatagramBytes,
    std::optional<std::chrono::milliseconds> aMaxAge = std::nullopt);
  ~DatagramReceiver();
  DatagramReceiver(const DatagramReceiver&) = delete;
  DatagramReceiver& operator=(const DatagramReceiver&) = delete;

  /**
   * Reads at most one batch from the socket and passes its datagrams to
   * aHandler. Returns the number of datagrams read, including dropped ones.
   */
  std::size_t receive(const UdpSocket& aSocket, const Handler& aHandler);
  std::size_t receive(const UdpSocket& aSocket, const SourceHandler& aHandler);
  /** Number of datagrams dropped because of their age. */
  std::uint64_t staleCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

/**
 * Queues datagrams and sends them in batches. Datagrams that the socket does
 * not accept are dropped and counted, as a network may drop them.
 */
class DatagramSender
{
public:
  /**
   * Drops datagrams longer than aMaxDatagramBytes, and batches that are flushed
   * later than aMaxAge after their first datagram was queued.
   */
  explicit DatagramSender(
    const UdpSocket& aSocket,
    std::size_t aMaxDatagramBytes = DatagramReceiver::kMaxDatagramBytes,
    std::optional<std::chrono::milliseconds> aMaxAge = std::nullopt);
  ~DatagramSender();
  DatagramSender(const DatagramSender&) = delete;
  DatagramSender& operator=(const DatagramSender&) = delete;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData);
  /** Sends all queued datagrams. */
  void flush();
  std::uint64_t droppedCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Transport
