#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <poll.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxDatagramBytes = 64;
constexpr Core::Endpoint kSource{ 0x7F4B0001, 7000 };
constexpr Core::Endpoint kDestination{ 0x7F4B0002, 7000 };
/** Longer than any delay on a busy machine. */
constexpr std::chrono::milliseconds kGenerousMaxAge = 24h;

/** Two sockets, the second one with receive timestamps. */
class Fixture
{
public:
  Fixture()
    : source(Transport::UdpSocket::bind(kSource))
    , destination(Transport::UdpSocket::bind(kDestination))
  {
    REQUIRE(source.ok());
    REQUIRE(destination.ok());
    REQUIRE(destination->enableReceiveTimestamps().ok());
    waitForTimestamps();
  }

  void send(const std::string& aText) const
  {
    Transport::DatagramSender sender(*source, kMaxDatagramBytes);
    sender.send(kDestination, toBytes(aText));
    sender.flush();
    waitForDatagram();
  }

  /** Reads the socket until it is empty; returns the accepted datagrams. */
  std::vector<std::string> receive(Transport::DatagramReceiver& aReceiver) const
  {
    std::vector<std::string> texts;
    while (aReceiver.receive(*destination, [&texts](const auto& aDatagram) {
      texts.emplace_back(aDatagram.begin(), aDatagram.end());
    }) > 0) {
    }
    return texts;
  }

  static absl::Span<const std::uint8_t> toBytes(const std::string& aText)
  {
    return { reinterpret_cast<const std::uint8_t*>(aText.data()),
             aText.size() };
  }

  /**
   * Waits until the kernel records receive timestamps, which it does only after
   * a short delay. Until then the time of a datagram is the time when it is
   * read, so that none is ever too old.
   */
  void waitForTimestamps() const
  {
    constexpr int kMaxAttempts = 10'000;
    Transport::DatagramReceiver receiver(kMaxDatagramBytes, 1ms);
    for (int i = 0; i < kMaxAttempts && receiver.staleCount() == 0; ++i) {
      send("time");
      std::this_thread::sleep_for(5ms);
      receive(receiver);
    }
    REQUIRE(receiver.staleCount() > 0);
  }

  void waitForDatagram() const
  {
    pollfd pollEntry{ destination->descriptor(), POLLIN, 0 };
    poll(&pollEntry, 1, -1);
  }

  absl::StatusOr<Transport::UdpSocket> source;
  absl::StatusOr<Transport::UdpSocket> destination;
};

} // namespace

TEST_CASE("a datagram that is too old is dropped on receipt")
{
  const Fixture fixture;
  fixture.send("old");
  std::this_thread::sleep_for(20ms);
  Transport::DatagramReceiver receiver(kMaxDatagramBytes, 1ms);
  CHECK(fixture.receive(receiver).empty());
  CHECK(receiver.staleCount() == 1);
}

TEST_CASE("recent datagrams are received")
{
  const Fixture fixture;
  fixture.send("one");
  fixture.send("two");
  Transport::DatagramReceiver receiver(kMaxDatagramBytes, kGenerousMaxAge);
  CHECK(fixture.receive(receiver) == std::vector<std::string>{ "one", "two" });
  CHECK(receiver.staleCount() == 0);
}

TEST_CASE("without a maximum age, old datagrams are received")
{
  const Fixture fixture;
  fixture.send("old");
  std::this_thread::sleep_for(20ms);
  Transport::DatagramReceiver receiver(kMaxDatagramBytes);
  CHECK(fixture.receive(receiver) == std::vector<std::string>{ "old" });
}

TEST_CASE("datagrams queued for too long are not sent")
{
  const Fixture fixture;
  Transport::DatagramSender sender(*fixture.source, kMaxDatagramBytes, 1ms);
  sender.send(kDestination, Fixture::toBytes("old"));
  std::this_thread::sleep_for(20ms);
  sender.flush();
  CHECK(sender.droppedCount() == 1);
  fixture.send("new");
  Transport::DatagramReceiver receiver(kMaxDatagramBytes);
  CHECK(fixture.receive(receiver) == std::vector<std::string>{ "new" });
}

TEST_CASE("a sender that is flushed at once only drops oversized datagrams")
{
  const Fixture fixture;
  {
    Transport::DatagramSender sender(
      *fixture.source, kMaxDatagramBytes, kGenerousMaxAge);
    sender.send(kDestination, Fixture::toBytes("one"));
    sender.send(kDestination,
                Fixture::toBytes(std::string(kMaxDatagramBytes + 1, 'x')));
    sender.send(kDestination, Fixture::toBytes("two"));
    sender.flush();
    CHECK(sender.droppedCount() == 1);
  }
  fixture.waitForDatagram();
  Transport::DatagramReceiver receiver(kMaxDatagramBytes);
  CHECK(fixture.receive(receiver) == std::vector<std::string>{ "one", "two" });
}
