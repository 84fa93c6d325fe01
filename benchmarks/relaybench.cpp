#include "benches.h"

#include "balancing/balancerengine.h"
#include "core/systemclock.h"
#include "core/task.h"
#include "packet/packetbuilder.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"
#include "world/fleetbuilder.h"

#include <poll.h>

#include <algorithm>
#include <atomic>

namespace Bench {

namespace {

constexpr Core::Endpoint kRelay{ 0x7f4a0001, 7000 };
constexpr Core::Endpoint kSource{ 0x7f4a0002, 7000 };
constexpr std::uint32_t kSinkAddress = 0x7f480001;
constexpr std::chrono::milliseconds kMeasureTime{ 800 };
constexpr int kRounds = 5;
constexpr std::size_t kFlows = 1'000;
constexpr std::size_t kPayloadBytes = 400;

/** Packets of many flows, as the fabric would send them. */
std::vector<Packet::Bytes>
makePackets()
{
  std::vector<Packet::Bytes> packets;
  for (std::size_t i = 0; i < kFlows; ++i) {
    Packet::PacketBuilder builder(Packet::Protocol::Tcp);
    builder.from({ 0x0a010000U + static_cast<std::uint32_t>(i), 999 })
      .to({ World::kServiceAddress, World::kTcpPort })
      .flags(Packet::kTcpAck)
      .payload(absl::string_view(std::string(kPayloadBytes, 'x')));
    const auto inner = builder.build();
    Packet::GuePacket gue;
    gue.body = inner;
    Packet::Bytes outer;
    gue.appendTo(outer);
    packets.push_back(outer);
  }
  return packets;
}

/** Keeps the relay's socket full until it is told to end. */
void
sendUntil(const std::atomic<bool>& aIsEnded,
          const Transport::UdpSocket& aSocket)
{
  Transport::DatagramSender sender(aSocket);
  const auto packets = makePackets();
  while (!aIsEnded) {
    for (const auto& it : packets) {
      sender.send(kRelay, it);
    }
  }
}

double
threadSeconds()
{
  timespec value{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
  constexpr double kNano = 1e-9;
  return static_cast<double>(value.tv_sec) +
         kNano * static_cast<double>(value.tv_nsec);
}

/**
 * Packets that aHandle takes for each second of this thread's processor time,
 * so that a source which is slower than the relay does not hide a cost.
 */
template<typename Handle>
double
measure(const Transport::UdpSocket& aSocket, Handle aHandle)
{
  const Core::SystemClock clock;
  Transport::DatagramReceiver receiver;
  const auto start = clock.now();
  const auto processorStart = threadSeconds();
  std::uint64_t count = 0;
  pollfd entry{ aSocket.descriptor(), POLLIN, 0 };
  while (clock.now() - start < kMeasureTime) {
    poll(&entry, 1, 1);
    count += receiver.receive(aSocket, aHandle);
  }
  return static_cast<double>(count) / (threadSeconds() - processorStart);
}

double
median(std::vector<double> aValues)
{
  std::nth_element(
    aValues.begin(), aValues.begin() + aValues.size() / 2, aValues.end());
  return aValues[aValues.size() / 2];
}

} // namespace

Records
runRelay()
{
  auto relay = Transport::UdpSocket::bind(kRelay);
  auto source = Transport::UdpSocket::bind(kSource);
  auto sink = Transport::UdpSocket::bind({ kSinkAddress, 7000 });
  if (!relay.ok() || !source.ok() || !sink.ok()) {
    return { { "relay: an address is in use", 1, "", 0 } };
  }
  std::atomic<bool> isEnded = false;
  Core::Task task;
  if (!task.start("source", [&] { sendUntil(isEnded, *source); }).ok()) {
    return {};
  }
  World::FleetShape shape;
  shape.targets = { "t1" };
  Transport::DatagramSender sender(*relay);
  Balancing::BalancerEngine<Transport::DatagramSender> engine(
    sender, kRelay, {});
  const Core::SystemClock clock;
  static_cast<void>(engine.activateView(World::buildView(shape), clock.now()));
  std::vector<double> plain;
  std::vector<double> balanced;
  std::vector<double> ratios;
  for (int round = 0; round < kRounds; ++round) {
    plain.push_back(measure(*relay, [&](const auto& aDatagram) {
      sender.send({ kSinkAddress, 7000 }, aDatagram);
    }));
    balanced.push_back(measure(*relay, [&](const auto& aDatagram) {
      engine.handleDatagram(aDatagram, clock.now());
    }));
    ratios.push_back(balanced.back() / plain.back());
  }
  isEnded = true;
  task.join();
  return { { "one balancer thread over a plain relay, packets a core second",
             median(ratios),
             "",
             0.8,
             true,
             median(plain),
             "plain relay, packets/core s" },
           { "one balancer thread", median(balanced), "packets/core s" } };
}

} // namespace Bench
