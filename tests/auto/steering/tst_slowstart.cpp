#include "steering/admissioncontroller.h"
#include "steering/fleetmapbuilder.h"
#include "steering/flowsteerer.h"
#include "steering/slowstartlimiter.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::AgentMessage;
using Steering::MessageKind;
using Steering::RejectReason;
using Steering::SlowStart;
using Test::Bytes;

constexpr std::uint16_t kLimit = 20;

Core::Endpoint
endpoint(std::size_t aNumber)
{
  return { 0x0A000000U + static_cast<std::uint32_t>(aNumber), 8172 };
}

Bytes
packet(std::uint16_t aCaller, bool aIsSyn, std::uint32_t aSequence = 1)
{
  Test::PacketFields fields;
  fields.flow = Test::flowOf(aCaller);
  fields.isSyn = aIsSyn;
  fields.dataBytes = aIsSyn ? 0 : 9;
  fields.sequence = aSequence;
  return Test::encode(fields);
}

/** What an agent sends, with the times on a manual clock. */
struct AgentRecord
{
  void sendToBalancer(const Core::Endpoint& /*aTo*/,
                      absl::Span<const std::uint8_t> aData)
  {
    lastMessage = *AgentMessage::parse(aData);
    rejects += lastMessage.kind == MessageKind::Reject ? 1 : 0;
  }
  void deliver(absl::Span<const std::uint8_t> aData)
  {
    received.push_back(Test::TestFormat::parse(aData)->fields());
    (received.back().isSyn ? syns : requests).push_back(now);
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> /*aData*/)
  {
  }

  Core::TimePoint now{ 100s };
  AgentMessage lastMessage;
  std::size_t rejects = 0;
  std::vector<Core::TimePoint> syns;
  std::vector<Core::TimePoint> requests;
  std::vector<Test::PacketFields> received;
};

/** An agent with many slots, whose backend server answers at once. */
struct Agent : AgentRecord
{
  void forward(std::size_t aBalancer, const Bytes& aPacket)
  {
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.latencyObjective = 300ms;
    message.timeout = 2'000ms;
    message.serviceTag = Steering::FleetMap::serviceTag("red");
    message.slots = 1'000;
    message.slowStart = slowStart;
    message.mapRevision = { 1, revision };
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aPacket.begin(), aPacket.end());
    controller.handleBalancerMessage(endpoint(aBalancer), bytes, now);
    answerAll();
  }
  void answerAll()
  {
    for (auto fields : std::exchange(received, {})) {
      fields.isFromTarget = true;
      fields.isSynAck = std::exchange(fields.isSyn, false);
      controller.handleTargetPacket(Test::encode(fields), now);
    }
  }
  /** Opens a flow and sends one request if the agent admits it. */
  bool request(std::uint16_t aCaller, std::size_t aBalancer = 1)
  {
    const auto before = rejects;
    forward(aBalancer, packet(aCaller, true));
    if (rejects == before) {
      forward(aBalancer, packet(aCaller, false));
    }
    return rejects == before;
  }

  std::optional<SlowStart> slowStart = SlowStart{ kLimit, 10'000ms };
  std::uint64_t revision = 1;
  Telemetry::EventLog events{ { "test", "off", false } };
  Telemetry::HistogramSet histograms;
  Steering::AdmissionController<Test::TestFormat, AgentRecord>
    controller{ *this, { "red" }, events, histograms, now };
};

/** The most times in any sliding second. */
std::size_t
peakPerSecond(const std::vector<Core::TimePoint>& aTimes)
{
  std::size_t peak = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < aTimes.size(); ++i) {
    while (aTimes[i] - aTimes[first] > 1s) {
      ++first;
    }
    peak = std::max(peak, i - first + 1);
  }
  return peak;
}

struct BalancerRecord
{
  void sendToAgent(const Core::Endpoint& aTo,
                   absl::Span<const std::uint8_t> aData)
  {
    sent.emplace_back(aTo, *AgentMessage::parse(aData));
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> /*aData*/)
  {
    ++resets;
  }

  std::vector<std::pair<Core::Endpoint, AgentMessage>> sent;
  int resets = 0;
};

/** A balancer with two targets of two slots; the last aColdCount are cold. */
struct Balancer : BalancerRecord
{
  explicit Balancer(std::size_t aColdCount)
  {
    Steering::FleetMapBuilder builder;
    Steering::RouteDeclaration route;
    route.address = Test::kRouteAddress;
    route.shares.push_back({ "red", 1 });
    route.route.timeout = 2'000ms;
    route.route.latencyObjective = 300ms;
    builder.route(route);
    for (std::size_t i = 1; i <= 2; ++i) {
      Steering::Target target;
      target.agent = endpoint(i);
      target.slots = 2;
      if (i + aColdCount > 2) {
        target.slowStartUntil = now + 10s;
        target.slowStartLimit = kLimit;
      }
      builder.target("red", target);
    }
    steerer.setMap(builder.build(), now);
  }

  void open(std::uint16_t aCaller)
  {
    steerer.handleCallerPacket(packet(aCaller, true), now);
  }
  /** An agent's report, or its reject of a SYN. */
  void reply(std::size_t aAgent,
             std::uint16_t aBudget,
             std::uint16_t aRejectedCaller = 0)
  {
    AgentMessage message;
    message.kind = MessageKind::LoadReport;
    message.load.serviceTime = 900ms;
    message.load.slowStartBudget = aBudget;
    Bytes body;
    if (aRejectedCaller != 0) {
      message.kind = MessageKind::Reject;
      message.reason = RejectReason::SlowStartLimit;
      body = packet(aRejectedCaller, true);
    }
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), body.begin(), body.end());
    steerer.handleAgentMessage(endpoint(aAgent), bytes, now);
  }

  Core::TimePoint now{ 100s };
  Telemetry::EventLog events{ { "test", "off", false } };
  Steering::FlowSteerer<Test::TestFormat, BalancerRecord> steerer{
    *this,
    { "", { { 0ms, 200ms, 600ms }, 1'400ms } },
    events
  };
};

constexpr auto kNoLimit = Steering::ReportedLoad::kNoSlowStartLimit;

} // namespace

// Guards against balancers that together exceed the limit, which none of them
// can see, and against a window that wastes what the limit allows.
TEST_CASE("no sliding second exceeds the limit at twice the load in bursts")
{
  Agent agent;
  agent.now += 2s;
  const auto start = agent.now;
  const auto end = start + 8s;
  std::uint16_t caller = 100;
  REQUIRE(agent.request(1));
  for (std::uint32_t step = 0; agent.now < end; ++step) {
    agent.now += 1ms;
    agent.slowStart->remaining = 10'000ms - std::chrono::milliseconds(step);
    // Ten balancers send bursts that are 250 ms apart.
    for (std::size_t i = 0; step % 250 == 0 && i < kLimit / 2; ++i) {
      agent.request(++caller, 1 + i % 10);
    }
    if (step % 200 == 0 && agent.controller.queuedRequests() == 0) {
      agent.forward(1, packet(1, false, 10 + step));
    }
    agent.controller.tick(agent.now);
    agent.answerAll();
  }
  CHECK(peakPerSecond(agent.syns) <= kLimit);
  CHECK(peakPerSecond(agent.requests) <= kLimit);
  // A place is free after at most 1,070 ms, and the next burst takes it.
  CHECK(agent.requests.size() >= kLimit * 8'000 / (1'070 + 250));
  CHECK(agent.controller.counters().value(
          Steering::SteeringCounter::SlowStartRejects) == agent.rejects);

  SUBCASE("a server that starts again is limited for its whole slow start")
  {
    agent.slowStart->remaining = 10'000ms;
    ++agent.revision;
    agent.now += 5s;
    for (int i = 0; i < 2 * kLimit; ++i) {
      agent.request(++caller);
    }
    CHECK(peakPerSecond(agent.requests) <= kLimit);
  }
  SUBCASE("the limit ends when the remaining time has passed")
  {
    agent.now = start + 12s;
    agent.slowStart.reset();
    for (int i = 0; i < 2 * kLimit; ++i) {
      CHECK(agent.request(++caller));
    }
    CHECK(agent.lastMessage.load.slowStartBudget == kNoLimit);
  }
}

// Guards against a delayed first request that shares a second with newer ones.
TEST_CASE("a first request keeps its place from the SYN until a second later")
{
  Agent agent;
  agent.now += 2s;
  for (std::uint16_t caller = 1; caller <= kLimit; ++caller) {
    agent.forward(1, packet(caller, true));
  }
  agent.now += 600ms;
  for (std::uint16_t caller = 1; caller <= kLimit; ++caller) {
    agent.forward(1, packet(caller, false));
  }
  CHECK(agent.requests.size() == kLimit);
  agent.now += 900ms;
  CHECK_FALSE(agent.request(99));
  CHECK(agent.lastMessage.reason == RejectReason::SlowStartLimit);
  agent.now += 200ms;
  CHECK(agent.request(99));
}

// Guards against requests that stay queued although the window has room.
TEST_CASE("a further request waits until the window has room")
{
  Agent agent;
  agent.now += 2s;
  agent.slowStart->limit = 1;
  REQUIRE(agent.request(1));
  agent.forward(1, packet(1, false, 20));
  CHECK(agent.requests.size() == 1);
  CHECK(agent.lastMessage.load.slowStartBudget == 0);
  for (int ticks = 0; agent.requests.size() == 1; ++ticks) {
    REQUIRE(ticks < 100);
    agent.now += *agent.controller.timeUntilTick();
    agent.controller.tick(agent.now);
  }
  const auto waited = agent.now - agent.requests.front();
  CHECK(waited > 1s);
  CHECK(waited <= 1s + Steering::SlowStartLimiter::kMargin +
                    2 * Steering::SlowStartLimiter::kBucketTime);
}

// Guards against requests of the previous run of the agent being forgotten.
TEST_CASE("an agent that has just started takes nothing for a second")
{
  Agent agent;
  agent.now += 999ms;
  CHECK_FALSE(agent.request(1));
  agent.forward(1, packet(2, false, 20));
  CHECK(agent.requests.empty());
  agent.now += 100ms;
  agent.controller.tick(agent.now);
  CHECK(agent.requests.size() == 1);
}

// Guards against a limit in deployments that did not configure one, and against
// balancers with an old map.
TEST_CASE("only a limit above 0 of the newest map limits")
{
  Agent agent;
  SUBCASE("no limit")
  {
    agent.slowStart.reset();
  }
  SUBCASE("limit 0")
  {
    agent.slowStart = SlowStart{ 0, 5'000ms };
  }
  SUBCASE("the server is no longer cold in the newest map")
  {
    agent.forward(1, packet(500, true));
    agent.slowStart.reset();
    ++agent.revision;
  }
  const auto before = agent.syns.size();
  for (std::uint16_t caller = 1; caller <= 2 * kLimit; ++caller) {
    agent.request(caller);
  }
  CHECK(agent.syns.size() == before + 2 * kLimit);
  CHECK_FALSE(agent.controller.timeUntilTick().has_value());
  agent.revision = 0;
  agent.slowStart = SlowStart{ 1, 5'000ms };
  CHECK(agent.request(1'000));
}

// Guards against callers that wait for a cold server while a warm one is free.
TEST_CASE("a cold target gets a flow only while no warm one is free")
{
  Balancer balancer(1);
  balancer.open(1);
  balancer.open(2);
  REQUIRE(balancer.sent.size() == 2);
  CHECK(balancer.sent[1].first == endpoint(1));
  CHECK_FALSE(balancer.sent[1].second.slowStart.has_value());
  balancer.open(3);
  REQUIRE(balancer.sent.size() == 3);
  CHECK(balancer.sent[2].first == endpoint(2));
  REQUIRE(balancer.sent[2].second.slowStart.has_value());
  CHECK(balancer.sent[2].second.slowStart->limit == kLimit);
  CHECK(balancer.sent[2].second.slowStart->remaining == 10s);
}

// Guards against refused callers, or ones that wait for their retransmission.
TEST_CASE("a flow tries the next target at once and then waits for room")
{
  Balancer balancer(2);
  balancer.open(1);
  const std::size_t first = balancer.sent.back().first == endpoint(1) ? 1 : 2;
  balancer.reply(first, 0, 1);
  REQUIRE(balancer.sent.size() == 2);
  CHECK(balancer.sent.back().first == endpoint(3 - first));
  balancer.reply(3 - first, 0, 1);
  balancer.open(2);
  CHECK(balancer.sent.size() == 2);
  CHECK(balancer.resets == 0);
  balancer.now += 30ms;
  balancer.reply(first, 1);
  CHECK(balancer.sent.size() == 3);
  CHECK(balancer.sent.back().first == endpoint(first));
}

// Guards against a herd of balancers that all choose the largest budget.
TEST_CASE("cold targets get flows in proportion to their budgets")
{
  std::vector<Steering::Target> targets(2);
  targets[0].agent = endpoint(1);
  targets[1].agent = endpoint(2);
  const Steering::LoadEstimate load;
  const std::vector<Steering::Candidate> candidates{
    { targets.data(), &load, true, false, 10 },
    { &targets[1], &load, true, false, 30 }
  };
  int second = 0;
  for (std::uint64_t hash = 0; hash < 4'000; ++hash) {
    const auto* chosen =
      Steering::selectByBudget(candidates, Steering::mixBits(hash));
    second += chosen->target == &targets[1] ? 1 : 0;
  }
  CHECK(second > 2'850);
  CHECK(second < 3'150);
}
