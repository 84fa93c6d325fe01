#pragma once

#include "core/endpoint.h"

#include <absl/types/span.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace Transport {

class UdpSocket;

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

  /** Datagrams longer than aDatagramBytes are left out. */
  explicit DatagramReceiver(std::size_t aDatagramBytes = kDatagramBytes);
  ~DatagramReceiver();
  DatagramReceiver(const DatagramReceiver&) = delete;
  DatagramReceiver& operator=(const DatagramReceiver&) = delete;

  /**
   * Hands over at most one batch of what waits in the socket, and returns how
   * many datagrams that were.
   */
  std::size_t receive(const UdpSocket& aSocket, const Handler& aHandler);
  std::size_t receive(const UdpSocket& aSocket, const SourceHandler& aHandler);

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
  /** Datagrams longer than aDatagramBytes are dropped. */
  explicit DatagramSender(
    const UdpSocket& aSocket,
    std::size_t aDatagramBytes = DatagramReceiver::kDatagramBytes);
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
