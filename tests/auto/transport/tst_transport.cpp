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

constexpr std::size_t kBytes = 64;
constexpr Core::Endpoint kSender{ 0x7F4B0001, 7000 };
constexpr Core::Endpoint kReceiver{ 0x7F4B0002, 7000 };
/** No pause of a busy machine is as long. */
constexpr std::chrono::milliseconds kNever = 24h;

/** Two sockets; the kernel notes when datagrams come to the second one. */
class Fixture
{
public:
  Fixture()
    : from(Transport::UdpSocket::bind(kSender))
    , to(Transport::UdpSocket::bind(kReceiver))
  {
    REQUIRE(from.ok());
    REQUIRE(to.ok());
    REQUIRE(to->tellArrivalTimes().ok());
    awaitArrivalTimes();
  }

  void send(const std::string& aText) const
  {
    Transport::DatagramSender sender(*from, kBytes);
    sender.send(kReceiver, bytesOf(aText));
    sender.flush();
    awaitDatagram();
  }

  /** What a receiver hands over of all that waits. */
  std::vector<std::string> receive(Transport::DatagramReceiver& aReceiver) const
  {
    std::vector<std::string> texts;
    while (aReceiver.receive(*to, [&texts](const auto& aDatagram) {
      texts.emplace_back(aDatagram.begin(), aDatagram.end());
    }) > 0) {
    }
    return texts;
  }

  static absl::Span<const std::uint8_t> bytesOf(const std::string& aText)
  {
    return { reinterpret_cast<const std::uint8_t*>(aText.data()),
             aText.size() };
  }

  /**
   * The kernel begins to note times a moment after it was asked to; until then
   * a datagram counts as one that came when it is read.
   */
  void awaitArrivalTimes() const
  {
    constexpr int kMostTries = 10'000;
    Transport::DatagramReceiver receiver(kBytes, 1ms);
    for (int i = 0; i < kMostTries && receiver.staleCount() == 0; ++i) {
      send("time");
      std::this_thread::sleep_for(5ms);
      receive(receiver);
    }
    REQUIRE(receiver.staleCount() > 0);
  }

  void awaitDatagram() const
  {
    pollfd entry{ to->descriptor(), POLLIN, 0 };
    poll(&entry, 1, -1);
  }

  absl::StatusOr<Transport::UdpSocket> from;
  absl::StatusOr<Transport::UdpSocket> to;
};

} // namespace

TEST_CASE("a datagram that waited too long in a socket is left out")
{
  const Fixture f;
  f.send("old");
  std::this_thread::sleep_for(20ms);
  Transport::DatagramReceiver receiver(kBytes, 1ms);
  CHECK(f.receive(receiver).empty());
  CHECK(receiver.staleCount() == 1);
}

TEST_CASE("a datagram that waited shortly is handed over")
{
  const Fixture f;
  f.send("one");
  f.send("two");
  Transport::DatagramReceiver receiver(kBytes, kNever);
  CHECK(f.receive(receiver) == std::vector<std::string>{ "one", "two" });
  CHECK(receiver.staleCount() == 0);
}

TEST_CASE("without a limit a datagram may wait for any time")
{
  const Fixture f;
  f.send("old");
  std::this_thread::sleep_for(20ms);
  Transport::DatagramReceiver receiver(kBytes);
  CHECK(f.receive(receiver) == std::vector<std::string>{ "old" });
}

TEST_CASE("what a process decided before it slept is not sent")
{
  const Fixture f;
  Transport::DatagramSender sender(*f.from, kBytes, 1ms);
  sender.send(kReceiver, Fixture::bytesOf("old"));
  std::this_thread::sleep_for(20ms);
  sender.flush();
  CHECK(sender.droppedCount() == 1);
  f.send("new");
  Transport::DatagramReceiver receiver(kBytes);
  CHECK(f.receive(receiver) == std::vector<std::string>{ "new" });
}

TEST_CASE("a sender that is flushed at once sends everything")
{
  const Fixture f;
  {
    Transport::DatagramSender sender(*f.from, kBytes, kNever);
    sender.send(kReceiver, Fixture::bytesOf("one"));
    sender.send(kReceiver, Fixture::bytesOf(std::string(kBytes + 1, 'x')));
    sender.send(kReceiver, Fixture::bytesOf("two"));
    sender.flush();
    CHECK(sender.droppedCount() == 1);
  }
  f.awaitDatagram();
  Transport::DatagramReceiver receiver(kBytes);
  CHECK(f.receive(receiver) == std::vector<std::string>{ "one", "two" });
}
