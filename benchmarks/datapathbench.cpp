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

constexpr std::size_t kFlows = 500'000;
constexpr std::size_t kAddresses = 5'000;

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
  for (std::size_t i = 0; i < kAddresses; ++i) {
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
    document->services[i % kAddresses].targets.push_back(target);
  }
  return std::make_shared<Routing::FleetView>(document, Config::InstanceList{});
}

/** Median time of one choice of a home, in nanoseconds. */
double
medianChoice(const Routing::FleetView& aView)
{
  constexpr int kRounds = 101;
  constexpr int kChoices = 2'000;
  const Routing::FlowHasher hasher({});
  const Core::SystemClock clock;
  std::mt19937_64 random(3);
  std::vector<double> times;
  std::uint64_t sum = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Packet::FlowKey> flows;
    flows.reserve(kChoices);
    for (int i = 0; i < kChoices; ++i) {
      flows.push_back(randomFlow(random, random() % kAddresses));
    }
    const auto start = clock.now();
    for (const auto& flow : flows) {
      const auto found = aView.findClass(flow.service, flow.protocol);
      const auto homes = found.service->homeSelector.homes(hasher.hash(flow));
      sum += homes.size();
    }
    const auto elapsed = clock.now() - start;
    times.push_back(static_cast<double>(elapsed.count()) / kChoices);
  }
  std::nth_element(times.begin(), times.begin() + kRounds / 2, times.end());
  return sum == 0 ? 0 : times[kRounds / 2];
}

std::size_t
heapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** With GUE, UDP and IPv4 around it. */
std::size_t
wireBytes(const Messages::PeerMessage& aMessage)
{
  constexpr std::size_t kHeaderBytes = 4 + 8 + 20;
  return kHeaderBytes + aMessage.ByteSizeLong();
}

std::size_t
reportBytes()
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
noticeBytes()
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
  const auto small = medianChoice(*makeView(1'300));
  const auto large = medianChoice(*makeView(13'000));
  records.push_back({ "choice of a home, 5,000 addresses, 13,000 targets",
                      large,
                      "ns",
                      300,
                      false,
                      small,
                      "at 1,300 targets" });
  records.push_back({ "growth of that choice from 1,300 to 13,000 targets",
                      large / small,
                      "",
                      1 });
  std::mt19937_64 random(5);
  const auto before = heapBytes();
  Balancing::OwnerCache cache(2 * kFlows, std::chrono::hours(1));
  for (std::size_t i = 0; i < kFlows; ++i) {
    cache.insert(random(), 1, Core::TimePoint(std::chrono::hours(2)));
  }
  const auto afterCache = heapBytes();
  records.push_back({ "balancer cache, bytes a flow at 500,000 flows",
                      static_cast<double>(afterCache - before) / kFlows,
                      "bytes",
                      64 });
  Ownership::FlowTable table;
  for (std::size_t i = 0; i < kFlows; ++i) {
    table.insert(randomFlow(random, 1), {});
  }
  records.push_back({ "agent table, bytes a flow at 500,000 flows",
                      static_cast<double>(heapBytes() - afterCache) / kFlows,
                      "bytes",
                      128 });
  records.push_back({ "load report, bytes on the wire",
                      static_cast<double>(reportBytes()),
                      "bytes" });
  records.push_back({ "owner notice, bytes on the wire",
                      static_cast<double>(noticeBytes()),
                      "bytes" });
  return records;
}

} // namespace Bench
