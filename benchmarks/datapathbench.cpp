#include "benches.h"

#include "balancing/ownercache.h"
#include "core/systemclock.h"
#include "messages/flowid.h"
#include "messages/peermessages.pb.h"
#include "ownership/flowtable.h"
#include "routing/fleetview.h"
#include "routing/flowhasher.h"

#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <algorithm>
#include <random>

namespace Bench {

namespace {

constexpr std::size_t kFlowCount = 500'000;
constexpr std::size_t kServiceCount = 5'000;

Packet::FlowKey
randomFlow(std::mt19937_64& aRandom, std::uint32_t aService)
{
  return { { static_cast<std::uint32_t>(aRandom()),
             static_cast<std::uint16_t>(aRandom()) },
           { aService, 1 },
           Packet::Protocol::Tcp };
}

Routing::FleetViewPointer
makeView(std::size_t aTargets)
{
  auto document = std::make_shared<Config::Document>();
  document->revision = 1;
  for (std::size_t i = 0; i < kServiceCount; ++i) {
    Config::Service service;
    service.name = absl::StrCat("service-", i);
    service.identity = Config::identityOf(service.name);
    service.address = static_cast<std::uint32_t>(i);
    service.classes.emplace_back();
    service.classes.back().port = 1;
    document->services.push_back(service);
  }
  for (std::size_t i = 0; i < aTargets; ++i) {
    Config::Target target;
    target.name = absl::StrCat("target-", i);
    target.identity = Config::identityOf(target.name);
    document->services[i % kServiceCount].targets.push_back(target);
  }
  return std::make_shared<Routing::FleetView>(document, Config::InstanceList{});
}

/** Median time to select a home agent, in nanoseconds. */
double
medianHomeSelectionTime(const Routing::FleetView& aView)
{
  constexpr int kRoundCount = 101;
  constexpr int kSelectionsPerRound = 2'000;
  const Routing::FlowHasher hasher({});
  const Core::SystemClock clock;
  std::mt19937_64 random(3);
  std::vector<double> times;
  std::uint64_t homeCount = 0;
  for (int round = 0; round < kRoundCount; ++round) {
    std::vector<Packet::FlowKey> flows;
    flows.reserve(kSelectionsPerRound);
    for (int i = 0; i < kSelectionsPerRound; ++i) {
      flows.push_back(randomFlow(random, random() % kServiceCount));
    }
    const auto start = clock.now();
    for (const auto& flow : flows) {
      const auto found = aView.findClass(flow.service, flow.protocol);
      const auto homes = found.service->homeSelector.homes(hasher.hash(flow));
      homeCount += homes.size();
    }
    const auto elapsed = clock.now() - start;
    times.push_back(static_cast<double>(elapsed.count()) / kSelectionsPerRound);
  }
  std::nth_element(times.begin(), times.begin() + kRoundCount / 2, times.end());
  return homeCount == 0 ? 0 : times[kRoundCount / 2];
}

std::size_t
heapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Size of the message with its GUE, UDP and IPv4 headers. */
std::size_t
wireBytes(const Messages::PeerMessage& aMessage)
{
  constexpr std::size_t kHeaderBytes = 4 + 8 + 20;
  return kHeaderBytes + aMessage.ByteSizeLong();
}

std::size_t
loadReportBytes()
{
  Messages::PeerMessage message;
  auto& report = *message.mutable_load_report();
  report.set_target(~0ULL);
  report.set_incarnation(1'800'000'000'000'000'000);
  report.set_revision(100'000);
  report.set_slots_in_use(5);
  report.set_slots(7);
  report.set_connections_in_use(1'077);
  report.set_connections(2'000);
  report.set_assignments_seen(1'000'000);
  report.set_complete(true);
  report.set_sequence(1'000'000);
  return wireBytes(message);
}

std::size_t
ownerNoticeBytes()
{
  Messages::PeerMessage message;
  auto& notice = *message.mutable_owner_notice();
  Messages::writeFlow({ { ~0U, 60'000 }, { ~0U, 443 }, Packet::Protocol::Tcp },
                      *notice.mutable_flow());
  notice.set_owner(~0ULL);
  notice.set_home(~0ULL);
  notice.set_revision(100'000);
  return wireBytes(message);
}

} // namespace

Records
runDataPath()
{
  Records records;
  const auto smallFleetTime = medianHomeSelectionTime(*makeView(1'300));
  const auto largeFleetTime = medianHomeSelectionTime(*makeView(13'000));
  records.push_back({ "choice of a home, 5,000 addresses, 13,000 targets",
                      largeFleetTime,
                      "ns",
                      300,
                      false,
                      smallFleetTime,
                      "at 1,300 targets" });
  records.push_back({ "growth of that choice from 1,300 to 13,000 targets",
                      largeFleetTime / smallFleetTime,
                      "",
                      1 });
  std::mt19937_64 random(5);
  const auto bytesBefore = heapBytes();
  Balancing::OwnerCache cache(2 * kFlowCount, std::chrono::hours(1));
  for (std::size_t i = 0; i < kFlowCount; ++i) {
    cache.insert(random(), 1, Core::TimePoint(std::chrono::hours(2)));
  }
  const auto bytesWithCache = heapBytes();
  records.push_back(
    { "balancer cache, bytes a flow at 500,000 flows",
      static_cast<double>(bytesWithCache - bytesBefore) / kFlowCount,
      "bytes",
      64 });
  Ownership::FlowTable table;
  for (std::size_t i = 0; i < kFlowCount; ++i) {
    table.insert(randomFlow(random, 1), {});
  }
  records.push_back(
    { "agent table, bytes a flow at 500,000 flows",
      static_cast<double>(heapBytes() - bytesWithCache) / kFlowCount,
      "bytes",
      128 });
  records.push_back({ "load report, bytes on the wire",
                      static_cast<double>(loadReportBytes()),
                      "bytes" });
  records.push_back({ "owner notice, bytes on the wire",
                      static_cast<double>(ownerNoticeBytes()),
                      "bytes" });
  return records;
}

} // namespace Bench
