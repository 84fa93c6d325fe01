#include "steering/targetgate.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::AgentMessage;
using Steering::HandBackReason;
using Steering::MessageKind;
using Test::Bytes;

/** Keeps what an agent sends. */
struct FakePort
{
  struct Sent
  {
    Core::Endpoint to;
    AgentMessage message;
    Bytes body;
  };

  void sendToBalancer(const Core::Endpoint& aTo,
                      absl::Span<const std::uint8_t> aData)
  {
    const auto body = aData.subspan(AgentMessage::kBytes);
    toBalancers.push_back(
      { aTo, *AgentMessage::parse(aData), Bytes(body.begin(), body.end()) });
  }
  void deliver(absl::Span<const std::uint8_t> aData)
  {
    delivered.emplace_back(aData.begin(), aData.end());
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    toCallers.emplace_back(aData.begin(), aData.end());
  }

  std::vector<Sent> toBalancers;
  std::vector<Bytes> delivered;
  std::vector<Bytes> toCallers;
};

constexpr Core::Endpoint kBalancer{ 0x0A010001, 7720 };
constexpr Core::Endpoint kOther{ 0x0A010002, 7720 };

/** An agent beside a target with two slots. */
class Fixture
{
public:
  Fixture()
    : events({ "test", "off", false })
    , gate(port, { "red" }, events, histograms, Core::TimePoint(100s))
  {
  }

  void forward(const Bytes& aPacket,
               const Core::Endpoint& aFrom = kBalancer,
               std::chrono::milliseconds aAge = 0ms,
               bool aWantsNotice = false,
               const std::string& aService = "red")
  {
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.age = aAge;
    message.latencyObjective = objective;
    message.timeout = 2'000ms;
    message.wantsNotice = aWantsNotice;
    message.isLongFlow = isLong;
    message.serviceTag = Steering::FleetMap::serviceTag(aService);
    message.slots = 2;
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aPacket.begin(), aPacket.end());
    gate.handleBalancerMessage(aFrom, bytes, now);
  }

  static Bytes opening(std::uint16_t aCaller)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCaller);
    fields.isOpening = true;
    return Test::encode(fields);
  }
  static Bytes data(std::uint16_t aCaller, std::uint32_t aSequence)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCaller);
    fields.dataBytes = 9;
    fields.sequence = aSequence;
    return Test::encode(fields);
  }
  void accept(std::uint16_t aCaller, std::uint32_t aSequence = 500)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCaller);
    fields.isAccepting = true;
    fields.isFromTarget = true;
    fields.sequence = aSequence;
    gate.handleTargetPacket(Test::encode(fields), now);
  }
  void answer(std::uint16_t aCaller, bool aIsClosing = false)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCaller);
    fields.isFromTarget = true;
    fields.dataBytes = 9;
    fields.isClosing = aIsClosing;
    gate.handleTargetPacket(Test::encode(fields), now);
  }
  /** The target hands back what was delivered last. */
  void bounce()
  {
    auto bytes = port.delivered.back();
    auto fields = Test::TestFormat::parse(bytes)->fields();
    fields.isHandedBack = true;
    gate.handleTargetPacket(Test::encode(fields), now);
  }
  std::vector<FakePort::Sent> handedBack() const
  {
    std::vector<FakePort::Sent> list;
    for (const auto& it : port.toBalancers) {
      if (it.message.kind == MessageKind::HandBack) {
        list.push_back(it);
      }
    }
    return list;
  }
  void startRequest(std::uint16_t aCaller)
  {
    forward(opening(aCaller));
    accept(aCaller);
    forward(data(aCaller, 1));
  }

  FakePort port;
  Telemetry::EventLog events;
  Telemetry::HistogramSet histograms;
  Core::TimePoint now{ 100s };
  bool isLong = false;
  /** A third may be spent waiting: not one request's 25 ms. */
  std::chrono::milliseconds objective{ 60 };
  Steering::TargetGate<Test::TestFormat, FakePort> gate;
};

} // namespace

TEST_CASE("a flow is delivered and its owner is told with the first answer")
{
  Fixture f;
  f.forward(Fixture::opening(1));
  CHECK(f.port.delivered.size() == 1);
  CHECK(f.port.toBalancers.empty());
  f.accept(1, 500);
  REQUIRE(f.port.toBalancers.size() == 1);
  const auto notice = Steering::OwnerNotice::parse(f.port.toBalancers[0].body);
  REQUIRE(notice.ok());
  CHECK(notice->flow == Test::flowOf(1));
  CHECK(notice->sequence == 500);
  CHECK(f.port.toCallers.size() == 1);
}

TEST_CASE("new flows beyond the slots are handed back unseen")
{
  Fixture f;
  f.startRequest(1);
  f.startRequest(2);
  const auto before = f.port.delivered.size();
  f.forward(Fixture::opening(3));
  CHECK(f.port.delivered.size() == before);
  const auto& back = f.port.toBalancers.back();
  CHECK(back.message.kind == MessageKind::HandBack);
  CHECK(back.message.reason == HandBackReason::Full);
  CHECK(back.message.load.inProgress == 2);
  CHECK(back.body == Fixture::opening(3));

  SUBCASE("unless the answer will be in time all the same")
  {
    // Nothing was measured yet: 50 ms on two slots are 25 ms.
    f.objective = 75ms;
    f.forward(Fixture::opening(3));
    CHECK(f.port.delivered.size() == before + 1);
  }
  SUBCASE("and the balancer is told of the next free slot")
  {
    const auto told = f.port.toBalancers.size();
    f.answer(1);
    REQUIRE(f.port.toBalancers.size() == told + 1);
    CHECK(f.port.toBalancers.back().message.kind == MessageKind::LoadReport);
    CHECK(f.port.toBalancers.back().message.load.inProgress == 1);
    f.answer(2);
    CHECK(f.port.toBalancers.size() == told + 1);
  }
  SUBCASE("until a request is answered")
  {
    f.answer(1);
    f.forward(Fixture::opening(3));
    CHECK(f.port.delivered.size() == before + 1);
  }
  SUBCASE("and a flow that was opened holds its slot before its request")
  {
    f.answer(1);
    f.forward(Fixture::opening(3));
    f.forward(Fixture::opening(4));
    CHECK(f.port.delivered.size() == before + 1);
  }
}

TEST_CASE("a repeated request counts once, and an answer ends it once")
{
  Fixture f;
  f.startRequest(1);
  f.forward(Fixture::data(1, 1));
  CHECK(f.gate.inProgress() == 1);
  f.answer(1);
  f.answer(1);
  CHECK(f.gate.inProgress() == 0);
  f.forward(Fixture::data(1, 1));
  CHECK(f.gate.inProgress() == 0);
  f.forward(Fixture::data(1, 10));
  CHECK(f.gate.inProgress() == 1);
}

TEST_CASE("a flow of many requests takes a slot only while one is in progress")
{
  Fixture f;
  f.isLong = true;
  f.forward(Fixture::opening(1));
  f.accept(1);
  // It was opened for a request, which comes next.
  CHECK(f.gate.inProgress() == 1);
  f.forward(Fixture::data(1, 1));
  CHECK(f.gate.inProgress() == 1);
  f.answer(1);
  CHECK(f.gate.inProgress() == 0);
  f.forward(Fixture::data(1, 20));
  CHECK(f.gate.inProgress() == 1);
  f.answer(1, true);
  CHECK(f.gate.inProgress() == 0);
  f.now += 5s;
  f.gate.tick(f.now);
  CHECK(f.gate.openFlows() == 0);
}

TEST_CASE("a copy that comes after the end of a flow holds no slot")
{
  Fixture f;
  f.startRequest(1);
  f.answer(1, true);
  CHECK(f.gate.inProgress() == 0);
  f.forward(Fixture::data(1, 1));
  f.forward(Fixture::data(1, 20));
  CHECK(f.gate.inProgress() == 0);
  SUBCASE("but a new flow from the same port does")
  {
    f.forward(Fixture::opening(1));
    CHECK(f.gate.inProgress() == 1);
  }
}

namespace {

/** Fills both slots, and the one request that is delivered ahead. */
void
fill(Fixture& aFixture)
{
  aFixture.objective = 300ms;
  for (std::uint16_t i = 1; i <= 3; ++i) {
    aFixture.startRequest(i);
  }
  REQUIRE(aFixture.gate.waiting() == 0);
}

/** Caller of the packet that the target got last. */
std::uint16_t
lastDelivered(const Fixture& aFixture)
{
  return Test::TestFormat::parse(aFixture.port.delivered.back())
    ->flowToService()
    .caller.port;
}

} // namespace

TEST_CASE("requests beyond the slots wait at the agent, the newest goes first")
{
  Fixture f;
  fill(f);
  f.startRequest(4);
  f.now += 10ms;
  f.startRequest(5);
  CHECK(f.gate.waiting() == 2);
  CHECK(f.gate.inProgress() == 3);
  f.answer(1);
  CHECK(lastDelivered(f) == 5);
  f.answer(2);
  CHECK(lastDelivered(f) == 4);
  CHECK(f.gate.waiting() == 0);
}

TEST_CASE("late requests go after those that can still be in time")
{
  Fixture f;
  fill(f);
  f.forward(Fixture::opening(4), kBalancer, 500ms);
  f.accept(4);
  f.forward(Fixture::opening(6), kBalancer, 700ms);
  f.accept(6);
  f.forward(Fixture::data(4, 1));
  f.forward(Fixture::data(6, 1));
  f.startRequest(5);
  CHECK(f.gate.waiting() == 3);
  f.answer(1);
  CHECK(lastDelivered(f) == 5);
  f.answer(2);
  CHECK(lastDelivered(f) == 6);
  f.answer(3);
  CHECK(lastDelivered(f) == 4);
}

TEST_CASE("a late flow that cannot be served before its timeout is turned away")
{
  Fixture f;
  fill(f);
  // Three in progress on two slots, 50 ms each: 50 ms.
  f.forward(Fixture::opening(4), kBalancer, 1'950ms);
  CHECK(f.handedBack().size() == 1);
  f.forward(Fixture::opening(4), kBalancer, 1'949ms);
  CHECK(f.handedBack().size() == 1);
}

TEST_CASE("copies of a request that waits are not delivered, its rest is")
{
  Fixture f;
  fill(f);
  f.startRequest(4);
  f.forward(Fixture::data(4, 1));
  f.forward(Fixture::data(4, 10));
  const auto before = f.port.delivered.size();
  f.answer(1);
  CHECK(f.port.delivered.size() == before + 2);
}

TEST_CASE("a caller that resets its flow leaves the queue")
{
  Fixture f;
  fill(f);
  f.startRequest(4);
  Test::PacketFields reset;
  reset.flow = Test::flowOf(4);
  reset.isReset = true;
  f.forward(Test::encode(reset));
  CHECK(f.gate.waiting() == 0);
  const auto before = f.port.delivered.size();
  f.answer(1);
  CHECK(f.port.delivered.size() == before);
}

TEST_CASE("a request whose caller has given up is not delivered")
{
  Fixture f;
  fill(f);
  f.startRequest(4);
  f.now += 2s;
  f.gate.tick(f.now);
  CHECK(f.gate.waiting() == 0);
}

TEST_CASE("data of a flow that the target did not confirm is never held")
{
  Fixture f;
  fill(f);
  const auto before = f.port.delivered.size();
  f.forward(Fixture::data(9, 1), kOther, 0ms, true);
  CHECK(f.port.delivered.size() == before + 1);
  f.bounce();
  CHECK(f.handedBack().back().message.reason == HandBackReason::NotHeld);
  CHECK(f.gate.inProgress() == 3);
}

TEST_CASE("packets for another service never reach the target")
{
  Fixture f;
  f.forward(Fixture::opening(1), kBalancer, 0ms, false, "blue");
  f.forward(Fixture::data(1, 1), kBalancer, 0ms, false, "blue");
  CHECK(f.port.delivered.empty());
  REQUIRE(f.port.toBalancers.size() == 2);
  CHECK(f.port.toBalancers[0].message.reason == HandBackReason::WrongService);
}

TEST_CASE(
  "what the target does not hold goes back to the balancer that sent it")
{
  Fixture f;
  f.forward(Fixture::data(9, 1), kOther);
  f.forward(Fixture::data(1, 1), kBalancer, 0ms, true);
  f.bounce();
  REQUIRE(f.port.toBalancers.size() == 1);
  const auto& back = f.port.toBalancers[0];
  CHECK(back.to == kBalancer);
  CHECK(back.message.reason == HandBackReason::NotHeld);
  CHECK(back.body == Fixture::data(1, 1));
  CHECK(f.port.toCallers.empty());
}

TEST_CASE("a packet handed back by an earlier life of the agent is dropped")
{
  Fixture f;
  Test::PacketFields fields;
  fields.flow = Test::flowOf(1);
  fields.isHandedBack = true;
  fields.token = 5;
  f.gate.handleTargetPacket(Test::encode(fields), f.now);
  CHECK(f.port.toBalancers.empty());
  CHECK(f.port.toCallers.empty());
}

TEST_CASE("a balancer that asks is told of a flow that the target holds")
{
  Fixture f;
  f.startRequest(1);
  f.answer(1);
  f.forward(Fixture::data(1, 20), kOther, 0ms, true);
  CHECK(f.port.toBalancers.back().to == kOther);
  CHECK(f.port.toBalancers.back().message.kind == MessageKind::OwnerNotice);
}

TEST_CASE("an agent tells who asks of the flows that it knows, and of no other")
{
  Fixture f;
  f.startRequest(1);
  const auto locate = [&f](std::uint16_t aCaller) {
    AgentMessage message;
    message.kind = MessageKind::Locate;
    Bytes bytes;
    message.appendTo(bytes);
    Steering::OwnerNotice{ Test::flowOf(aCaller), 0 }.appendTo(bytes);
    f.gate.handleBalancerMessage(kOther, bytes, f.now);
  };
  const auto before = f.port.toBalancers.size();
  locate(2);
  CHECK(f.port.toBalancers.size() == before);
  locate(1);
  REQUIRE(f.port.toBalancers.size() == before + 1);
  CHECK(f.port.toBalancers.back().to == kOther);
  CHECK(f.port.toBalancers.back().message.kind == MessageKind::OwnerNotice);
  f.answer(1, true);
  locate(1);
  CHECK(f.port.toBalancers.size() == before + 1);
}

TEST_CASE("an agent passes on who has a flow that it was told of")
{
  Fixture f;
  const Core::Endpoint owner{ 0x0A020009, 8172 };
  const auto send = [&f](MessageKind aKind, const Bytes& aBody) {
    AgentMessage message;
    message.kind = aKind;
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aBody.begin(), aBody.end());
    f.gate.handleBalancerMessage(kOther, bytes, f.now);
  };
  Bytes hint;
  Steering::OwnerHint{ Test::flowOf(1), owner }.appendTo(hint);
  Bytes question;
  Steering::OwnerNotice{ Test::flowOf(1), 0 }.appendTo(question);
  send(MessageKind::NoteOwner, hint);
  CHECK(f.port.toBalancers.empty());
  send(MessageKind::Locate, question);
  REQUIRE(f.port.toBalancers.size() == 1);
  const auto& answer = f.port.toBalancers.back();
  CHECK(answer.to == kOther);
  CHECK(answer.message.kind == MessageKind::OwnerElsewhere);
  const auto told = Steering::OwnerHint::parse(answer.body);
  REQUIRE(told.ok());
  CHECK(told->flow == Test::flowOf(1));
  CHECK(told->agent == owner);

  SUBCASE("until it has the flow itself")
  {
    f.startRequest(1);
    send(MessageKind::Locate, question);
    CHECK(f.port.toBalancers.back().message.kind == MessageKind::OwnerNotice);
  }
  SUBCASE("for a minute")
  {
    f.now += 60s;
    f.gate.tick(f.now);
    send(MessageKind::Locate, question);
    CHECK(f.port.toBalancers.size() == 1);
  }
  SUBCASE("and drops hints that it cannot read")
  {
    send(MessageKind::NoteOwner, question);
    CHECK(f.gate.counters().value(
            Steering::SteeringCounter::PacketsMalformed) == 1);
  }
}

TEST_CASE("an agent that runs for long knows all flows in use")
{
  Fixture f;
  f.startRequest(1);
  CHECK_FALSE(f.port.toBalancers.back().message.load.knowsAllFlows);
  f.now += 30s;
  f.startRequest(2);
  CHECK(f.port.toBalancers.back().message.load.knowsAllFlows);
}

TEST_CASE("after its restart an agent tells owners again")
{
  Fixture f;
  f.forward(Fixture::data(1, 20), kOther, 0ms, true);
  CHECK(f.port.toBalancers.empty());
  f.answer(1);
  REQUIRE(f.port.toBalancers.size() == 1);
  CHECK(f.port.toBalancers[0].message.kind == MessageKind::OwnerNotice);
}

TEST_CASE("an opening that the target leaves unanswered goes back in time")
{
  Fixture f;
  f.forward(Fixture::opening(1));
  CHECK(f.gate.timeToTick().has_value());
  f.now += 59ms;
  f.gate.tick(f.now);
  CHECK(f.handedBack().empty());
  f.now += 1ms;
  f.gate.tick(f.now);
  REQUIRE(f.handedBack().size() == 1);
  CHECK(f.handedBack()[0].message.reason == HandBackReason::Silent);
  CHECK(f.handedBack()[0].body == Fixture::opening(1));
  CHECK(f.gate.inProgress() == 0);

  SUBCASE("after the second in a row the target is left alone")
  {
    f.forward(Fixture::opening(2));
    f.now += 60ms;
    f.gate.tick(f.now);
    f.forward(Fixture::opening(3));
    CHECK(f.port.delivered.size() == 2);
    CHECK(f.port.toBalancers.back().message.load.isUnavailable);
    f.now += 500ms;
    f.forward(Fixture::opening(4));
    CHECK(f.port.delivered.size() == 3);
    f.accept(4);
    f.forward(Fixture::opening(5));
    CHECK(f.port.delivered.size() == 4);
  }
}

TEST_CASE("a leaving agent takes no new flow and serves the others")
{
  Fixture f;
  f.startRequest(1);
  f.gate.beginLeaving(f.now);
  CHECK(f.port.toBalancers.back().message.load.isUnavailable);
  f.forward(Fixture::opening(2));
  CHECK(f.port.toBalancers.back().message.reason == HandBackReason::Leaving);
  const auto before = f.port.delivered.size();
  f.forward(Fixture::data(1, 30));
  CHECK(f.port.delivered.size() == before + 1);
}

TEST_CASE("an agent passes on the newest revision that a balancer told")
{
  Fixture f;
  AgentMessage probe;
  probe.kind = MessageKind::Probe;
  for (const std::uint32_t revision : { 5, 9, 7 }) {
    probe.mapRevision = revision;
    Bytes bytes;
    probe.appendTo(bytes);
    f.gate.handleBalancerMessage(kBalancer, bytes, f.now);
  }
  CHECK(f.port.toBalancers.back().message.mapRevision == 9);
}

TEST_CASE("loads are reported on change, within a budget")
{
  Fixture f;
  f.startRequest(1);
  const auto before = f.port.toBalancers.size();
  f.gate.tick(f.now);
  CHECK(f.port.toBalancers.size() == before + 1);
  f.startRequest(2);
  const auto noticed = f.port.toBalancers.size();
  f.gate.tick(f.now + 50ms);
  CHECK(f.port.toBalancers.size() == noticed);
  f.gate.tick(f.now + 100ms);
  CHECK(f.port.toBalancers.size() == noticed + 1);
  f.gate.tick(f.now + 300ms);
  CHECK(f.port.toBalancers.size() == noticed + 1);
}

TEST_CASE("a request without an answer does not hold its slot for ever")
{
  Fixture f;
  f.startRequest(1);
  f.now += 10s;
  f.gate.tick(f.now);
  CHECK(f.gate.inProgress() == 0);
}

TEST_CASE("a flow that never sends its request gives its slot back")
{
  Fixture f;
  f.forward(Fixture::opening(1));
  f.accept(1);
  CHECK(f.gate.inProgress() == 1);
  f.now += 100ms;
  f.gate.tick(f.now);
  CHECK(f.gate.inProgress() == 0);
}
