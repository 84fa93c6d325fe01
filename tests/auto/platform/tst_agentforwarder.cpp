#include "platform/agentforwarder.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <memory>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Bytes = std::vector<std::uint8_t>;
using Steering::SteeringCounter;

constexpr std::chrono::milliseconds kSynTimeout{ 60 };
static_assert(
  Steering::AdmissionController<Platform::DatagramFormat,
                                Platform::AgentOutput>::kSynTimeout ==
  kSynTimeout);

/** A process that is late: time passes whenever it looks at the clock. */
class LateClock
{
public:
  Core::TimePoint now() const
  {
    mNow += lateness;
    return mNow;
  }

  std::chrono::milliseconds lateness{ 0 };

private:
  mutable Core::TimePoint mNow{ std::chrono::seconds(1'000) };
};

constexpr std::size_t kFlagsOffset = 14;
constexpr std::uint8_t kSyn = 0x08;
constexpr std::uint8_t kSynAck = 0x88;

Bytes
packet(std::uint8_t aFlags)
{
  Bytes bytes(Platform::Datagram::kHeaderBytes);
  bytes[kFlagsOffset] = aFlags;
  return bytes;
}

Transport::UdpSocket
bindAt(std::uint8_t aHost)
{
  constexpr std::uint32_t kNetwork = 0x7F000300;
  constexpr int kFirstPort = 20'000;
  constexpr int kPortCount = 20'000;
  const auto port =
    static_cast<std::uint16_t>(kFirstPort + getpid() % kPortCount);
  return *Transport::UdpSocket::bind({ kNetwork + aHost, port });
}

/** An agent between a balancer and a backend server. */
class Fixture
{
public:
  Fixture()
    : forwarder(settings(),
                mDataSocket,
                mOutboundSocket,
                mWakeUp,
                mEvents,
                mHistograms,
                clock,
                *mStop)
  {
  }

  void forwardSyn()
  {
    Steering::AgentMessage message;
    message.kind = Steering::MessageKind::Forward;
    message.latencyObjective = 300ms;
    message.timeout = 2'000ms;
    message.serviceTag = Steering::FleetMap::serviceTag("red");
    message.slots = 2;
    Bytes bytes;
    message.appendTo(bytes);
    const auto syn = packet(kSyn);
    bytes.insert(bytes.end(), syn.begin(), syn.end());
    send(mBalancer, mDataSocket, bytes);
  }

  void answerSyn() { send(mServer, mOutboundSocket, packet(kSynAck)); }

  std::uint64_t unansweredCount() const
  {
    return forwarder.counters().value(SteeringCounter::OpeningsUnanswered);
  }
  std::uint64_t deliveredCount() const
  {
    return forwarder.counters().value(SteeringCounter::PacketsDelivered);
  }

private:
  Platform::NodeSettings settings() const
  {
    Platform::NodeSettings settings;
    settings.data = mDataSocket.endpoint();
    settings.target = mServer.endpoint();
    settings.service = "red";
    return settings;
  }

  static void send(const Transport::UdpSocket& aFrom,
                   const Transport::UdpSocket& aTo,
                   const Bytes& aBytes)
  {
    Transport::DatagramSender sender(aFrom);
    sender.send(aTo.endpoint(), aBytes);
    sender.flush();
  }

  Transport::UdpSocket mBalancer = bindAt(1);
  Transport::UdpSocket mDataSocket = bindAt(2);
  Transport::UdpSocket mOutboundSocket = bindAt(3);
  Transport::UdpSocket mServer = bindAt(4);
  std::unique_ptr<Core::StopSource> mStop = Core::StopSource::create().value();
  Core::WakeUp mWakeUp = Core::WakeUp::create().value();
  Telemetry::EventLog mEvents{ { "test", "off", false } };
  Telemetry::HistogramSet mHistograms;

public:
  LateClock clock;
  Platform::AgentForwarder<LateClock> forwarder;
};

} // namespace

TEST_CASE("an agent that is late does not take its delay for the silence of "
          "the backend server")
{
  Fixture f;
  f.clock.lateness = kSynTimeout + 40ms;
  f.forwardSyn();
  f.forwarder.runRound();
  CHECK(f.deliveredCount() == 1);
  REQUIRE(f.unansweredCount() == 0);
  SUBCASE("which answered")
  {
    f.answerSyn();
    f.forwarder.runRound();
    CHECK(f.unansweredCount() == 0);
  }
  SUBCASE("but notices one that did not")
  {
    f.forwarder.runRound();
    CHECK(f.unansweredCount() == 1);
  }
}
