#include "benches.h"

#include "balancing/balancerengine.h"
#include "core/systemclock.h"
#include "core/task.h"
#include "packet/packetbuilder.h"
#include "simulation/fleetbuilder.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <poll.h>

#include <algorithm>
#include <atomic>

namespace Bench {

namespace {

constexpr Core::Endpoint kRelayEndpoint{ 0x7f4a0001, 7000 };
constexpr Core::Endpoint kSourceEndpoint{ 0x7f4a0002, 7000 };
constexpr std::uint32_t kSinkAddress = 0x7f480001;
constexpr std::chrono::milliseconds kMeasurementDuration{ 800 };
constexpr int kRoundCount = 5;
constexpr std::size_t kFlowCount = 1'000;
constexpr std::size_t kPayloadBytes = 400;

/** Encapsulated packets of many flows, as the fabric sends them. */
std::vector<Packet::Bytes>
makePackets()
{
  std::vector<Packet::Bytes> packets;
  for (std::size_t i = 0; i < kFlowCount; ++i) {
    Packet::PacketBuilder builder(Packet::Protocol::Tcp);
    builder.from({ 0x0a010000U + static_cast<std::uint32_t>(i), 999 })
      .to({ Simulation::kServiceAddress, Simulation::kTcpPort })
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

/** Sends packets to the relay as fast as possible until aShouldStop is set. */
void
sendUntil(const std::atomic<bool>& aShouldStop,
          const Transport::UdpSocket& aSocket)
{
  Transport::DatagramSender sender(aSocket);
  const auto packets = makePackets();
  while (!aShouldStop) {
    for (const auto& it : packets) {
      sender.send(kRelayEndpoint, it);
    }
  }
}

double
threadCpuSeconds()
{
  timespec cpuTime{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpuTime);
  constexpr double kNano = 1e-9;
  return static_cast<double>(cpuTime.tv_sec) +
         kNano * static_cast<double>(cpuTime.tv_nsec);
}

/**
 * Number of packets that aHandler processes per second of this thread's CPU
 * time. With wall time, a source slower than the relay would hide costs.
 */
template<typename Handler>
double
packetsPerCpuSecond(const Transport::UdpSocket& aSocket, Handler aHandler)
{
  const Core::SystemClock clock;
  Transport::DatagramReceiver receiver;
  const auto start = clock.now();
  const auto cpuSecondsAtStart = threadCpuSeconds();
  std::uint64_t count = 0;
  pollfd pollDescriptor{ aSocket.descriptor(), POLLIN, 0 };
  while (clock.now() - start < kMeasurementDuration) {
    poll(&pollDescriptor, 1, 1);
    count += receiver.receive(aSocket, aHandler);
  }
  return static_cast<double>(count) / (threadCpuSeconds() - cpuSecondsAtStart);
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
  auto relay = Transport::UdpSocket::bind(kRelayEndpoint);
  auto source = Transport::UdpSocket::bind(kSourceEndpoint);
  auto sink = Transport::UdpSocket::bind({ kSinkAddress, 7000 });
  if (!relay.ok() || !source.ok() || !sink.ok()) {
    return { { "relay: an address is in use", 1, "", 0 } };
  }
  std::atomic<bool> shouldStop = false;
  Core::Task sourceThread;
  if (!sourceThread.start("source", [&] { sendUntil(shouldStop, *source); })
         .ok()) {
    return {};
  }
  Simulation::FleetSettings fleetSettings;
  fleetSettings.targets = { "t1" };
  Transport::DatagramSender sender(*relay);
  Balancing::BalancerEngine<Transport::DatagramSender> engine(
    sender, kRelayEndpoint, {});
  const Core::SystemClock clock;
  static_cast<void>(
    engine.activateView(Simulation::buildView(fleetSettings), clock.now()));
  std::vector<double> relayRates;
  std::vector<double> balancerRates;
  std::vector<double> ratios;
  for (int round = 0; round < kRoundCount; ++round) {
    relayRates.push_back(
      packetsPerCpuSecond(*relay, [&](const auto& aDatagram) {
        sender.send({ kSinkAddress, 7000 }, aDatagram);
      }));
    balancerRates.push_back(
      packetsPerCpuSecond(*relay, [&](const auto& aDatagram) {
        engine.handleDatagram(aDatagram, clock.now());
      }));
    ratios.push_back(balancerRates.back() / relayRates.back());
  }
  shouldStop = true;
  sourceThread.join();
  return { { "one balancer thread over a plain relay, packets a core second",
             median(ratios),
             "",
             0.8,
             true,
             median(relayRates),
             "plain relay, packets/core s" },
           { "one balancer thread", median(balancerRates), "packets/core s" } };
}

} // namespace Bench
