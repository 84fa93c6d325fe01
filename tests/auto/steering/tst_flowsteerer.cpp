#include "steering/fleetmapbuilder.h"
#include "steering/flowsteerer.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::AgentMessage;
using Steering::HandBackReason;
using Steering::MessageKind;
using Test::Bytes;

/** Keeps what a balancer sends. */
struct FakePort
{
  struct Sent
  {
    Core::Endpoint to;
    AgentMessage message;
    Bytes body;
  };

  void sendToAgent(const Core::Endpoint& aTo,
                   absl::Span<const std::uint8_t> aData)
  {
    const auto body = aData.subspan(AgentMessage::kBytes);
    bytesToAgents += aData.size() + kHeaderBytes;
    toAgents.push_back(
      { aTo, *AgentMessage::parse(aData), Bytes(body.begin(), body.end()) });
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    toCallers.emplace_back(aData.begin(), aData.end());
  }

  /** Of IP and UDP. */
  static constexpr std::size_t kHeaderBytes = 28;

  std::size_t bytesToAgents = 0;
  std::vector<Sent> toAgents;
  std::vector<Bytes> toCallers;
};

using Search = Steering::SearchSide<Test::TestFormat, FakePort>;

/** One balancer in zone z1 before three targets, two of them in z1. */
class Fixture
{
public:
  explicit Fixture(bool aHasMap = true)
    : events({ "test", "off", false })
    , engine(port, { "z1", { { 0ms, 200ms, 600ms }, 1'400ms } }, events)
  {
    if (aHasMap) {
      adopt({ 1, 2, 3 });
      engine.setInTouch(true);
    }
  }

  void adopt(const std::vector<std::uint8_t>& aTargets,
             std::uint64_t aRevision = 1)
  {
    Steering::FleetMapBuilder builder;
    builder.revision(aRevision);
    for (const auto it : aTargets) {
      Steering::Target target;
      target.agent = agent(it);
      target.zone = it <= 2 ? "z1" : "z2";
      target.slots = 4;
      builder.target("red", target);
    }
    Steering::RouteDeclaration route;
    route.address = Test::kRoute;
    route.shares.push_back({ "red", 1 });
    route.route.timeout = 2'000ms;
    route.route.latencyObjective = 300ms;
    builder.route(route);
    engine.adoptMap(builder.build(), now);
  }

  static Core::Endpoint agent(std::uint8_t aNumber)
  {
    return { 0x0A000000U + aNumber, 8172 };
  }

  Bytes packet(std::uint16_t aCaller, bool aIsOpening, std::uint8_t aData = 0)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCaller);
    fields.isOpening = aIsOpening;
    fields.dataBytes = aData;
    fields.acknowledgment = acknowledgment;
    return Test::encode(fields);
  }

  void open(std::uint16_t aCaller, std::uint32_t aCopy = 0)
  {
    acknowledgment = aCopy;
    engine.handleCallerPacket(packet(aCaller, true), now);
    acknowledgment = 0;
  }
  void say(std::uint16_t aCaller)
  {
    engine.handleCallerPacket(packet(aCaller, false, 9), now);
  }
  /** Says something in a flow, and no agent tells that it knows the flow. */
  void ask(std::uint16_t aCaller)
  {
    say(aCaller);
    now += Search::kForwardDelay;
    engine.tick(now);
    std::erase_if(port.toAgents, [](const auto& aSent) {
      return aSent.message.kind == MessageKind::Locate;
    });
  }
  void handBack(const Core::Endpoint& aFrom,
                HandBackReason aReason,
                const Bytes& aPacket,
                std::uint16_t aInProgress = 0)
  {
    AgentMessage message;
    message.kind = MessageKind::HandBack;
    message.reason = aReason;
    message.load.inProgress = aInProgress;
    message.load.serviceTime = 50ms;
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aPacket.begin(), aPacket.end());
    engine.handleAgentMessage(aFrom, bytes, now);
  }
  void notice(const Core::Endpoint& aFrom,
              std::uint16_t aCaller,
              std::uint32_t aSequence = 0)
  {
    AgentMessage message;
    message.kind = MessageKind::OwnerNotice;
    Bytes bytes;
    message.appendTo(bytes);
    Steering::OwnerNotice{ Test::flowOf(aCaller), aSequence }.appendTo(bytes);
    engine.handleAgentMessage(aFrom, bytes, now);
  }
  /** The agent was told that another one has the flow. */
  void hint(const Core::Endpoint& aFrom,
            std::uint16_t aCaller,
            const Core::Endpoint& aOwner)
  {
    AgentMessage message;
    message.kind = MessageKind::OwnerElsewhere;
    Bytes bytes;
    message.appendTo(bytes);
    Steering::OwnerHint{ Test::flowOf(aCaller), aOwner }.appendTo(bytes);
    engine.handleAgentMessage(aFrom, bytes, now);
  }
  void report(const Core::Endpoint& aFrom,
              std::uint16_t aInProgress,
              bool aKnowsAllFlows = false)
  {
    AgentMessage message;
    message.load.knowsAllFlows = aKnowsAllFlows;
    message.kind = MessageKind::LoadReport;
    message.load.inProgress = aInProgress;
    message.load.serviceTime = 50ms;
    Bytes bytes;
    message.appendTo(bytes);
    engine.handleAgentMessage(aFrom, bytes, now);
  }
  /** The agent that got the last packet of a caller. */
  Core::Endpoint last() const
  {
    for (auto it = port.toAgents.rbegin(); it != port.toAgents.rend(); ++it) {
      if (it->message.kind == MessageKind::Forward) {
        return it->to;
      }
    }
    return {};
  }

  FakePort port;
  Telemetry::EventLog events;
  Core::TimePoint now{ 100s };
  std::uint32_t acknowledgment = 0;
  Steering::FlowSteerer<Test::TestFormat, FakePort> engine;
};

} // namespace

TEST_CASE("a new flow goes to a target of the own zone and stays there")
{
  Fixture f;
  f.open(1);
  REQUIRE(f.port.toAgents.size() == 1);
  const auto first = f.last();
  CHECK(first != Fixture::agent(3));
  CHECK(f.port.toAgents[0].message.age == 0ms);
  f.notice(first, 1, 500);
  f.acknowledgment = 501;
  f.say(1);
  f.say(1);
  REQUIRE(f.port.toAgents.size() == 3);
  CHECK(f.last() == first);
  CHECK_FALSE(f.port.toAgents[2].message.wantsNotice);
}

TEST_CASE("a target without a free slot is left for the next")
{
  Fixture f;
  f.open(1);
  std::set<Core::Endpoint> asked{ f.last() };
  for (int i = 0; i < 2; ++i) {
    f.handBack(f.last(), HandBackReason::Full, f.port.toAgents.back().body, 4);
    asked.insert(f.last());
  }
  CHECK(asked.size() == 3);
  f.handBack(f.last(), HandBackReason::Full, f.port.toAgents.back().body, 4);
  REQUIRE(f.port.toAgents.size() == 4);
  // Each is full, and any of them still lets the answer be in time.
  CHECK(f.port.toCallers.empty());
}

namespace {

/** No target has room that lets an answer come in time. */
void
fillAll(Fixture& aFixture)
{
  for (std::uint8_t i = 1; i <= 3; ++i) {
    // 13 to wait for on 4 slots, 50 ms each: 162 ms.
    aFixture.report(Fixture::agent(i), 16);
  }
}

/** The caller of a packet sent to an agent. */
std::uint16_t
callerOf(const FakePort::Sent& aSent)
{
  return Test::TestFormat::parse(aSent.body)->flowToService().caller.port;
}

} // namespace

TEST_CASE("flows without room wait, and the newest leaves first")
{
  Fixture f;
  fillAll(f);
  f.open(1);
  f.now += 10ms;
  f.open(2);
  CHECK(f.port.toAgents.empty());
  CHECK(f.port.toCallers.empty());
  f.report(Fixture::agent(1), 3);
  REQUIRE_FALSE(f.port.toAgents.empty());
  CHECK(callerOf(f.port.toAgents[0]) == 2);
}

TEST_CASE("a flow that waited until it is late goes to wait at a target")
{
  Fixture f;
  fillAll(f);
  f.report(Fixture::agent(2), 15);
  f.open(1);
  f.now += 200ms;
  f.open(1, 1);
  CHECK(f.port.toAgents.empty());
  f.now += 100ms;
  f.engine.tick(f.now);
  REQUIRE(f.port.toAgents.size() == 1);
  CHECK(f.last() == Fixture::agent(2));
  CHECK(f.port.toAgents[0].message.age == 300ms);
}

TEST_CASE("a waiting flow is dropped when its caller has ended the attempt")
{
  Fixture f(false);
  f.open(1);
  f.now += 200ms;
  f.open(1, 1);
  f.now += 400ms;
  f.open(1, 2);
  SUBCASE("not before")
  {
    f.now += 790ms;
    f.engine.tick(f.now);
    f.adopt({ 1, 2, 3 });
    CHECK(f.port.toAgents.size() == 1);
  }
  SUBCASE("at its end")
  {
    f.now += 800ms;
    f.engine.tick(f.now);
    f.adopt({ 1, 2, 3 });
    CHECK(f.port.toAgents.empty());
    CHECK(f.engine.counters().value(
            Steering::SteeringCounter::OpeningsExpired) == 1);
  }
}

TEST_CASE("a waiting flow whose copies go elsewhere is dropped")
{
  Fixture f(false);
  f.open(1);
  f.now += 260ms;
  f.engine.tick(f.now);
  f.adopt({ 1, 2, 3 });
  CHECK(f.port.toAgents.empty());
}

TEST_CASE("without a map openings wait for it")
{
  Fixture f(false);
  f.open(1);
  f.now += 200ms;
  f.open(1, 1);
  CHECK(f.port.toAgents.empty());
  f.adopt({ 1, 2, 3 });
  REQUIRE(f.port.toAgents.size() == 1);
  CHECK(callerOf(f.port.toAgents[0]) == 1);
  CHECK(f.port.toCallers.empty());
}

TEST_CASE("an opening leaves a silent agent before its caller repeats it")
{
  Fixture f;
  f.open(1);
  const auto silent = f.last();
  CHECK(f.engine.timeToTick().has_value());
  f.now += 99ms;
  f.engine.tick(f.now);
  CHECK(f.port.toAgents.size() == 1);
  f.now += 2ms;
  f.engine.tick(f.now);
  REQUIRE(f.port.toAgents.size() == 2);
  CHECK(f.last() != silent);
  f.notice(f.last(), 1, 5);
  f.open(2);
  CHECK(f.last() != silent);
}

TEST_CASE("a flow that every target refuses is refused at once")
{
  Fixture f;
  f.open(1);
  for (int i = 0; i < 3; ++i) {
    REQUIRE(f.port.toCallers.empty());
    f.handBack(f.last(), HandBackReason::Refused, f.port.toAgents.back().body);
  }
  CHECK(f.port.toAgents.size() == 3);
  CHECK(f.port.toCallers.size() == 1);
}

TEST_CASE("copies of an opening that come together ask one target")
{
  Fixture f;
  f.open(1);
  f.now += 1ms;
  f.open(1, 1);
  f.open(1, 2);
  CHECK(f.port.toAgents.size() == 1);
}

TEST_CASE("the silence of every target is no refusal")
{
  Fixture f;
  f.open(1);
  for (const std::uint32_t copy : { 1, 2 }) {
    f.now += copy * 200ms;
    f.open(1, copy);
  }
  f.now += 150ms;
  f.engine.tick(f.now);
  CHECK(f.port.toCallers.empty());
}

TEST_CASE("a repeated opening leaves the target that was silent")
{
  Fixture f;
  f.open(1);
  const auto silent = f.last();
  f.now += 200ms;
  f.open(1, 1);
  CHECK(f.last() != silent);

  SUBCASE("and later flows leave it at once")
  {
    for (std::uint16_t caller = 2; caller < 20; ++caller) {
      f.open(caller);
      CHECK(f.last() != silent);
      f.notice(f.last(), caller, 5);
    }
  }
  SUBCASE("until it answers a probe")
  {
    f.notice(f.last(), 1, 5);
    f.now += 250ms;
    f.engine.tick(f.now);
    CHECK(f.port.toAgents.back().message.kind == MessageKind::Probe);
    CHECK(f.port.toAgents.back().to == silent);
    f.report(silent, 0);
    CHECK_FALSE(f.engine.timeToTick().has_value());
  }
}

TEST_CASE("of two answers to an opening the one that the caller took counts")
{
  Fixture f;
  f.open(1);
  const auto first = f.last();
  f.now += 200ms;
  f.open(1, 1);
  const auto second = f.last();
  REQUIRE(first != second);
  f.notice(second, 1, 800);
  f.notice(first, 1, 500);
  f.acknowledgment = 801;
  f.say(1);
  CHECK(f.last() == second);
  f.acknowledgment = 900;
  f.say(1);
  CHECK(f.last() == second);
}

TEST_CASE("the owner of an unknown flow tells that it knows it")
{
  Fixture f;
  f.say(1);
  f.say(1);
  REQUIRE(f.port.toAgents.size() == 3);
  for (const auto& it : f.port.toAgents) {
    CHECK(it.message.kind == MessageKind::Locate);
  }
  // No packet went to an agent that does not have the flow.
  f.notice(Fixture::agent(3), 1);
  REQUIRE(f.port.toAgents.size() == 5);
  for (int i = 3; i < 5; ++i) {
    CHECK(f.port.toAgents[i].message.kind == MessageKind::Forward);
    CHECK(f.port.toAgents[i].to == Fixture::agent(3));
  }
  f.say(1);
  CHECK(f.last() == Fixture::agent(3));
  f.now += 1s;
  f.engine.tick(f.now);
  CHECK(f.port.toAgents.size() == 6);
}

TEST_CASE("a flow that no agent knows is found by asking each once")
{
  Fixture f;
  f.ask(1);
  std::set<Core::Endpoint> asked{ f.last() };
  CHECK(f.port.toAgents.back().message.wantsNotice);
  for (int i = 0; i < 2; ++i) {
    f.handBack(f.last(), HandBackReason::NotHeld, f.port.toAgents.back().body);
    asked.insert(f.last());
  }
  CHECK(asked.size() == 3);
  const auto owner = f.last();
  f.notice(owner, 1);
  f.say(1);
  CHECK(f.last() == owner);
  CHECK_FALSE(f.port.toAgents.back().message.wantsNotice);
}

namespace {

/** Agents of a service of 20 in the order in which an owner is searched. */
std::vector<Core::Endpoint>
adoptLargeService(Fixture& aFixture, std::uint16_t aCaller)
{
  std::vector<std::uint8_t> targets;
  for (std::uint8_t i = 1; i <= 20; ++i) {
    targets.push_back(i);
  }
  aFixture.adopt(targets, 2);
  const auto flow = Test::flowOf(aCaller);
  const auto map = aFixture.engine.map();
  std::vector<Core::Endpoint> agents;
  for (const auto* target : Steering::searchOrder(
         *map, *map->findRoute(flow.service), "z1", Steering::flowHash(flow))) {
    agents.push_back(target->agent);
  }
  return agents;
}

std::vector<FakePort::Sent>
hintsOf(const Fixture& aFixture)
{
  std::vector<FakePort::Sent> hints;
  for (const auto& it : aFixture.port.toAgents) {
    if (it.message.kind == MessageKind::NoteOwner) {
      hints.push_back(it);
    }
  }
  return hints;
}

} // namespace

TEST_CASE("agents that are asked first are told of an owner further on")
{
  Fixture f;
  const auto agents = adoptLargeService(f, 1);
  REQUIRE(agents.size() == 20);
  SUBCASE("when the flow opens")
  {
    f.open(1);
    f.notice(agents[12], 1, 500);
  }
  SUBCASE("when its owner is found")
  {
    f.ask(1);
    f.notice(agents[12], 1);
  }
  const auto hints = hintsOf(f);
  REQUIRE(hints.size() == 2);
  for (std::size_t i = 0; i < hints.size(); ++i) {
    CHECK(hints[i].to == agents[i]);
    const auto hint = Steering::OwnerHint::parse(hints[i].body);
    REQUIRE(hint.ok());
    CHECK(hint->flow == Test::flowOf(1));
    CHECK(hint->agent == agents[12]);
  }
}

TEST_CASE("nobody is told of an owner that is asked first")
{
  Fixture f;
  const auto agents = adoptLargeService(f, 1);
  f.open(1);
  f.notice(agents[1], 1, 500);
  CHECK(hintsOf(f).empty());
}

TEST_CASE("the owner that an agent names gets a packet at once")
{
  Fixture f;
  const auto agents = adoptLargeService(f, 1);
  f.say(1);
  f.say(1);
  CHECK(f.last() == Core::Endpoint{});
  f.hint(agents[0], 1, agents[12]);
  CHECK(f.last() == agents[12]);
  const auto sent = f.port.toAgents.size();
  CHECK(f.port.toAgents.back().message.wantsNotice);
  SUBCASE("and the others when it has the flow")
  {
    f.notice(agents[12], 1);
    REQUIRE(f.port.toAgents.size() > sent);
    CHECK(f.port.toAgents[sent].message.kind == MessageKind::Forward);
    CHECK(f.port.toAgents[sent].to == agents[12]);
  }
  SUBCASE("and is not believed twice")
  {
    f.handBack(
      agents[12], HandBackReason::NotHeld, f.port.toAgents.back().body);
    CHECK(f.last() != agents[12]);
    f.hint(agents[1], 1, agents[12]);
    CHECK(f.last() != agents[12]);
  }
}

TEST_CASE("a hint at an agent of no target is ignored")
{
  Fixture f;
  f.say(1);
  f.hint(Fixture::agent(1), 1, Fixture::agent(99));
  CHECK(f.last() == Core::Endpoint{});
}

TEST_CASE("agents that may not know all their flows are asked first")
{
  Fixture f;
  f.report(Fixture::agent(1), 0, true);
  f.report(Fixture::agent(2), 0, true);
  f.ask(1);
  CHECK(f.last() == Fixture::agent(3));
  f.handBack(f.last(), HandBackReason::NotHeld, f.port.toAgents.back().body);
  CHECK(f.last() != Fixture::agent(3));
}

TEST_CASE("one packet of a flow looks for its owner, the others wait")
{
  Fixture f;
  f.say(1);
  f.say(1);
  f.ask(1);
  REQUIRE(f.port.toAgents.size() == 1);
  const auto first = f.last();
  f.say(1);
  CHECK(f.port.toAgents.size() == 1);
  f.handBack(first, HandBackReason::NotHeld, f.port.toAgents.back().body);
  REQUIRE(f.port.toAgents.size() == 2);
  const auto second = f.last();
  CHECK(second != first);
  SUBCASE("until the agent tells that it has the flow")
  {
    f.notice(second, 1);
    REQUIRE(f.port.toAgents.size() == 5);
  }
  SUBCASE("until another tells that it has the flow")
  {
    f.notice(first, 1);
    REQUIRE(f.port.toAgents.size() == 6);
  }
  for (std::size_t i = 3; i < f.port.toAgents.size(); ++i) {
    CHECK(f.port.toAgents[i].to == f.last());
  }
}

TEST_CASE("searches leave most of a slow link to the callers")
{
  // Nobody answers in time while a balancer takes 300 flows over in a second,
  // as on a link of 10 Mbit/s that is full.
  Fixture f;
  std::vector<std::uint8_t> targets;
  for (std::uint8_t i = 1; i <= 42; ++i) {
    targets.push_back(i);
  }
  f.adopt(targets, 2);
  for (std::uint16_t caller = 1; caller <= 300; ++caller) {
    f.say(caller);
    f.now += 3'333us;
    f.engine.tick(f.now);
  }
  constexpr std::size_t kQuarterOfLink = 10'000'000 / 8 / 4;
  CHECK(f.port.bytesToAgents < kQuarterOfLink);
}

namespace {

/** Every target says that it does not hold the flow. */
void
searchInVain(Fixture& aFixture)
{
  aFixture.ask(1);
  for (int i = 0; i < 3; ++i) {
    aFixture.handBack(aFixture.last(),
                      HandBackReason::NotHeld,
                      aFixture.port.toAgents.back().body);
  }
}

} // namespace

TEST_CASE("a flow that nobody holds is reset as soon as everybody said so")
{
  Fixture f;
  SUBCASE("by a balancer in touch")
  {
    searchInVain(f);
    CHECK(f.port.toCallers.size() == 1);
  }
  SUBCASE("and by none that may not know every target")
  {
    f.engine.setInTouch(false);
    searchInVain(f);
    f.now += 10s;
    searchInVain(f);
    CHECK(f.port.toCallers.empty());
  }
}

TEST_CASE("a balancer that others are ahead of resets no flow")
{
  Fixture f;
  AgentMessage message;
  message.kind = MessageKind::LoadReport;
  message.mapRevision = 7;
  Bytes bytes;
  message.appendTo(bytes);
  f.engine.handleAgentMessage(Fixture::agent(1), bytes, f.now);
  searchInVain(f);
  CHECK(f.port.toCallers.empty());
  f.adopt({ 1, 2, 3 }, 7);
  searchInVain(f);
  CHECK(f.port.toCallers.size() == 1);
}

TEST_CASE("while targets come a second search must end in the same way")
{
  Fixture f;
  f.adopt({ 1, 2, 4 });
  searchInVain(f);
  CHECK(f.port.toCallers.empty());
  f.now += 400ms;
  searchInVain(f);
  CHECK(f.port.toCallers.empty());
  f.now += 400ms;
  searchInVain(f);
  CHECK(f.port.toCallers.size() == 1);
}

TEST_CASE("a flow is not reset while a target is silent")
{
  Fixture f;
  f.ask(1);
  const auto silent = f.last();
  for (int round = 0; round < 6; ++round) {
    f.now += 200ms;
    f.engine.tick(f.now);
    CHECK(f.last() != silent);
    for (int i = 0; i < 2; ++i) {
      f.handBack(
        f.last(), HandBackReason::NotHeld, f.port.toAgents.back().body);
    }
    f.now += 800ms;
    f.ask(1);
  }
  CHECK(f.port.toCallers.empty());
}

TEST_CASE("a search goes on without the caller when an agent is silent")
{
  Fixture f;
  f.ask(1);
  const auto silent = f.last();
  f.now += 100ms;
  f.engine.tick(f.now);
  REQUIRE(f.port.toAgents.size() == 2);
  CHECK(f.last() != silent);
  CHECK(f.port.toAgents[0].body == f.port.toAgents[1].body);
}

TEST_CASE("an agent whose answer was lost has not declined")
{
  Fixture f;
  f.ask(1);
  const auto owner = f.last();
  // The owner delivers the packet and its notice is lost.
  f.now += 200ms;
  f.engine.tick(f.now);
  REQUIRE(f.last() != owner);
  f.report(owner, 0);
  for (int i = 0; i < 2; ++i) {
    f.handBack(f.last(), HandBackReason::NotHeld, f.port.toAgents.back().body);
  }
  CHECK(f.port.toCallers.empty());
  f.now += 200ms;
  f.ask(1);
  CHECK(f.last() == owner);
}

TEST_CASE("a route that does not exist is refused by a balancer in touch")
{
  Fixture f;
  auto fields = Test::TestFormat::parse(f.packet(1, true))->fields();
  fields.flow.service.port = 9;
  const auto unknown = Test::encode(fields);
  f.engine.setInTouch(false);
  f.engine.handleCallerPacket(unknown, f.now);
  CHECK(f.port.toCallers.empty());
  f.engine.setInTouch(true);
  f.engine.handleCallerPacket(unknown, f.now);
  CHECK(f.port.toCallers.size() == 1);
  CHECK(f.port.toAgents.empty());
}

TEST_CASE("a balancer that no agent answers knows that it is cut off")
{
  Fixture f;
  CHECK_FALSE(f.engine.isIsolated(f.now));
  for (std::uint16_t caller = 1; caller <= 8; ++caller) {
    f.open(caller);
    f.now += 100ms;
  }
  CHECK(f.engine.isIsolated(f.now));
  f.report(Fixture::agent(2), 0);
  CHECK_FALSE(f.engine.isIsolated(f.now));
}

TEST_CASE("unreadable and hostile datagrams are counted and change nothing")
{
  Fixture f;
  f.engine.handleCallerPacket(Bytes{ 1, 2, 3 }, f.now);
  f.engine.handleCallerPacket({}, f.now);
  f.engine.handleAgentMessage(Fixture::agent(1), Bytes{ 0x4C, 2 }, f.now);
  f.handBack(Fixture::agent(1), HandBackReason::NotHeld, Bytes{ 7 });
  CHECK(f.engine.counters().value(
          Steering::SteeringCounter::PacketsMalformed) == 4);
  CHECK(f.port.toAgents.empty());
  CHECK(f.port.toCallers.empty());
}
