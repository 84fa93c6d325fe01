#include "steering/admissioncontroller.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Steering::AgentMessage;
using Steering::MessageKind;
using Steering::RejectReason;
using Test::Bytes;

/** Records the packets and messages that an agent sends. */
struct FakeOutput
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
constexpr Core::Endpoint kOtherBalancer{ 0x0A010002, 7720 };

/** An agent whose backend server has two slots. */
class Fixture
{
public:
  Fixture()
    : events({ "test", "off", false })
    , controller(output, { "red" }, events, histograms, Core::TimePoint(100s))
  {
  }

  void forward(const Bytes& aPacket,
               const Core::Endpoint& aFrom = kBalancer,
               std::chrono::milliseconds aAge = 0ms,
               bool aWantsOwnerNotice = false,
               const std::string& aService = "red")
  {
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.age = aAge;
    message.latencyObjective = latencyObjective;
    message.timeout = 2'000ms;
    message.wantsOwnerNotice = aWantsOwnerNotice;
    message.isLongLived = isLongLived;
    message.ignoresEjection = ignoresEjection;
    message.priority = priority;
    message.serviceTag = Steering::FleetMap::serviceTag(aService);
    message.slots = slots;
    message.slowStart = slowStart;
    message.mapRevision = mapRevision;
    message.isZoneEvacuated = isZoneEvacuated;
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aPacket.begin(), aPacket.end());
    controller.handleBalancerMessage(aFrom, bytes, now);
  }

  static Bytes synPacket(std::uint16_t aCallerPort)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isSyn = true;
    return Test::encode(fields);
  }
  static Bytes callerFin(std::uint16_t aCallerPort)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isFin = true;
    fields.sequence = 10;
    return Test::encode(fields);
  }
  static Bytes dataPacket(std::uint16_t aCallerPort, std::uint32_t aSequence)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.dataBytes = 9;
    fields.sequence = aSequence;
    return Test::encode(fields);
  }
  void sendSynAck(std::uint16_t aCallerPort, std::uint32_t aSequence = 500)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isSynAck = true;
    fields.isFromTarget = true;
    fields.sequence = aSequence;
    controller.handleTargetPacket(Test::encode(fields), now);
  }
  void sendAnswer(std::uint16_t aCallerPort, bool aIsFin = false)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isFromTarget = true;
    fields.dataBytes = 9;
    fields.isFin = aIsFin;
    controller.handleTargetPacket(Test::encode(fields), now);
  }
  void sendFin(std::uint16_t aCallerPort, std::uint32_t aSequence)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isFromTarget = true;
    fields.isFin = true;
    fields.sequence = aSequence;
    controller.handleTargetPacket(Test::encode(fields), now);
  }
  void resetByTarget(std::uint16_t aCallerPort)
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(aCallerPort);
    fields.isFromTarget = true;
    fields.isReset = true;
    controller.handleTargetPacket(Test::encode(fields), now);
  }
  /** The backend server resets its first three requests. */
  void ejectTarget()
  {
    for (const std::uint16_t caller : { 1, 2, 3 }) {
      startRequest(caller);
      resetByTarget(caller);
    }
  }
  /** The backend server returns the last packet that was delivered to it. */
  void returnLastPacket()
  {
    auto bytes = output.delivered.back();
    auto fields = Test::TestFormat::parse(bytes)->fields();
    fields.isReturned = true;
    controller.handleTargetPacket(Test::encode(fields), now);
  }
  std::vector<FakeOutput::Sent> rejections() const
  {
    std::vector<FakeOutput::Sent> result;
    for (const auto& sent : output.toBalancers) {
      if (sent.message.kind == MessageKind::Reject) {
        result.push_back(sent);
      }
    }
    return result;
  }
  /** The reply to an owner query with a sequence number of the caller. */
  AgentMessage queryOwner(std::uint16_t aCallerPort,
                          std::uint32_t aSequence = 0)
  {
    AgentMessage message;
    message.kind = MessageKind::OwnerQuery;
    message.wantsUnknownFlowReply = true;
    Bytes bytes;
    message.appendTo(bytes);
    Steering::OwnerNotice{ Test::flowOf(aCallerPort), aSequence }.appendTo(
      bytes);
    controller.handleBalancerMessage(kOtherBalancer, bytes, now);
    return output.toBalancers.back().message;
  }
  void startRequest(std::uint16_t aCallerPort)
  {
    forward(synPacket(aCallerPort));
    sendSynAck(aCallerPort);
    forward(dataPacket(aCallerPort, 1));
  }

  FakeOutput output;
  Telemetry::EventLog events;
  Telemetry::HistogramSet histograms;
  Core::TimePoint now{ 100s };
  bool isLongLived = false;
  bool ignoresEjection = false;
  Steering::MapRevision mapRevision{ 1, 1 };
  bool isZoneEvacuated = false;
  std::uint8_t priority = 0;
  std::uint16_t slots = 2;
  std::optional<Steering::SlowStart> slowStart;
  /**
   * A request may be queued for a third of this, less than the 25 ms that it
   * would have to wait with both slots in use.
   */
  std::chrono::milliseconds latencyObjective{ 60 };
  Steering::AdmissionController<Test::TestFormat, FakeOutput> controller;
};

/** A cold backend server that answers at once. */
class ColdFixture : public Fixture
{
public:
  static constexpr std::uint16_t kLimit = 20;

  /** The agent's first second is over. */
  ColdFixture()
  {
    now += 2s;
    slots = 1'000;
    slowStart = { kLimit, 10'000ms };
  }

  /** Opens a flow with one request; false if the agent rejects it. */
  bool request(std::uint16_t aCaller, const Core::Endpoint& aFrom = kBalancer)
  {
    const auto before = output.delivered.size();
    forward(synPacket(aCaller), aFrom);
    if (output.delivered.size() == before) {
      return false;
    }
    sendSynAck(aCaller);
    sendData(aCaller, 1);
    return true;
  }
  void sendData(std::uint16_t aCaller, std::uint32_t aSequence)
  {
    forward(dataPacket(aCaller, aSequence));
    answerAll();
  }
  void answerAll()
  {
    for (; mSeenCount < output.delivered.size(); ++mSeenCount) {
      const auto packet =
        Test::TestFormat::parse(output.delivered[mSeenCount])->fields();
      (packet.isSyn ? syns : requests).push_back(now);
      if (!packet.isSyn) {
        sendAnswer(packet.flow.caller.port);
      }
    }
  }
  /** The most times in any sliding second. */
  static std::size_t peak(const std::vector<Core::TimePoint>& aTimes)
  {
    std::size_t peak = 0;
    for (std::size_t i = 0, first = 0; i < aTimes.size(); ++i) {
      for (; aTimes[i] - aTimes[first] > 1s; ++first) {
      }
      peak = std::max(peak, i - first + 1);
    }
    return peak;
  }

  std::vector<Core::TimePoint> syns;
  std::vector<Core::TimePoint> requests;

private:
  std::size_t mSeenCount = 0;
};

} // namespace

TEST_CASE("a flow is delivered and the SYN-ACK triggers an owner notice")
{
  Fixture f;
  f.forward(Fixture::synPacket(1));
  CHECK(f.output.delivered.size() == 1);
  CHECK(f.output.toBalancers.empty());
  f.sendSynAck(1, 500);
  REQUIRE(f.output.toBalancers.size() == 1);
  const auto notice =
    Steering::OwnerNotice::parse(f.output.toBalancers[0].body);
  REQUIRE(notice.ok());
  CHECK(notice->flow == Test::flowOf(1));
  CHECK(notice->sequence == 500);
  CHECK(f.output.toCallers.size() == 1);
}

// Guards against a failing backend server that looks idle.
TEST_CASE("a backend server is ejected if it ends requests without an answer")
{
  Fixture f;
  f.ejectTarget();
  CHECK(f.output.toBalancers.back().message.load.isEjected);
  f.forward(Fixture::synPacket(4));
  REQUIRE(f.rejections().size() == 1);
  CHECK(f.rejections().front().message.reason == RejectReason::Ejected);
  SUBCASE("and returns with an answer to a probe")
  {
    f.now += Steering::OutlierDetector::kIdempotentProbeTimeout;
    f.startRequest(5);
    CHECK(f.rejections().size() == 1);
    f.sendAnswer(5);
    CHECK_FALSE(f.output.toBalancers.back().message.load.isEjected);
  }
  // Guards against a server that stays ejected although it answers.
  SUBCASE("and returns with an answer that its FIN overtakes")
  {
    f.now += Steering::OutlierDetector::kIdempotentProbeTimeout;
    f.startRequest(5);
    f.sendFin(5, 510);
    CHECK_FALSE(f.output.toBalancers.back().message.load.isEjected);
  }
  SUBCASE("unless balancers ignore ejections and it is not down")
  {
    f.ignoresEjection = true;
    for (const std::uint16_t caller : { 11, 12, 13, 14, 15 }) {
      f.startRequest(caller);
      f.resetByTarget(caller);
    }
    CHECK(f.rejections().size() == 1);
    f.forward(Fixture::synPacket(16));
    CHECK(f.rejections().size() == 2);
    CHECK(f.rejections().back().message.load.isUnavailable);
  }
}

// Guards against a backend server that is ejected for what its callers do.
TEST_CASE("resets by callers eject no backend server")
{
  Fixture f;
  for (std::uint16_t caller = 1; caller <= 20; ++caller) {
    f.startRequest(caller);
    Test::PacketFields fields;
    fields.flow = Test::flowOf(caller);
    fields.isReset = true;
    f.forward(Test::encode(fields));
  }
  CHECK(f.rejections().empty());
}

// Guards against an ejection under overload, when callers give up and the
// backend server only closes in reply, and against such replies as answers.
TEST_CASE("a close by the backend server after its caller's has no effect")
{
  Fixture f;
  for (std::uint16_t caller = 1; caller <= 20; ++caller) {
    f.startRequest(caller);
    f.forward(Fixture::callerFin(caller));
    f.sendFin(caller, 501);
  }
  CHECK(f.controller.counters().value(
          Steering::SteeringCounter::RequestsFailed) == 0);
  CHECK(f.rejections().empty());
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::synPacket(21));
  f.sendSynAck(21);
  CHECK(f.output.toBalancers.back().message.load.serviceTime == 0ms);
}

// Guards against an ejection because a FIN overtook the answer.
TEST_CASE("a close is a failure only if no byte of an answer came before it")
{
  Fixture f;
  const auto repeat = [&f](auto aEndRequest) {
    for (std::uint16_t caller = 1; caller <= 20; ++caller) {
      f.startRequest(caller);
      aEndRequest(caller);
    }
    return f.controller.counters().value(
      Steering::SteeringCounter::RequestsFailed);
  };
  SUBCASE("FIN with the answer")
  {
    CHECK(repeat([&](auto aCaller) { f.sendAnswer(aCaller, true); }) == 0);
  }
  SUBCASE("FIN before the answer that it follows")
  {
    CHECK(repeat([&](auto aCaller) {
            f.sendFin(aCaller, 510);
            f.sendAnswer(aCaller);
          }) == 0);
  }
  SUBCASE("FIN without an answer")
  {
    CHECK(repeat([&](auto aCaller) { f.sendFin(aCaller, 501); }) > 0);
    CHECK(f.rejections().size() ==
          20 - Steering::OutlierDetector::kFailureThreshold);
  }
}

// Guards against speeds that are never learned because most FINs arrive before
// the answer, and against speeds that include the wait for a slot.
TEST_CASE("the service time is the time from a free slot to the answer")
{
  Fixture f;
  const auto answer = [&f](std::uint16_t aCaller, bool aIsFinFirst) {
    if (aIsFinFirst) {
      f.sendFin(aCaller, 510);
    }
    f.sendAnswer(aCaller);
  };
  bool isFinFirst = false;
  SUBCASE("answer before FIN") {}
  SUBCASE("FIN before answer")
  {
    isFinFirst = true;
  }
  // Two slots and one more request: a request is delivered when another one
  // starts, and takes 40 ms from there.
  for (const std::uint16_t caller : { 1, 2, 3 }) {
    f.startRequest(caller);
    f.now += 20ms;
  }
  f.now -= 20ms;
  for (std::uint16_t caller = 1; caller <= 40; ++caller) {
    answer(caller, isFinFirst);
    f.forward(Fixture::synPacket(caller + 3), kBalancer, 0ms);
    f.sendSynAck(caller + 3);
    f.forward(Fixture::dataPacket(caller + 3, 1));
    f.now += 20ms;
  }
  CHECK(f.output.toBalancers.back().message.load.serviceTime == 40ms);
}

TEST_CASE("new flows are rejected while all slots are in use")
{
  Fixture f;
  f.startRequest(1);
  f.startRequest(2);
  const auto deliveredBefore = f.output.delivered.size();
  f.forward(Fixture::synPacket(3));
  CHECK(f.output.delivered.size() == deliveredBefore);
  const auto& rejection = f.output.toBalancers.back();
  CHECK(rejection.message.kind == MessageKind::Reject);
  CHECK(rejection.message.reason == RejectReason::Full);
  CHECK(rejection.message.load.inProgress == 2);
  CHECK(rejection.body == Fixture::synPacket(3));

  SUBCASE("admitted if the estimated queue time is short enough")
  {
    // The initial service time is 50 ms; with two slots, a slot is free after
    // 25 ms.
    f.latencyObjective = 75ms;
    f.forward(Fixture::synPacket(3));
    CHECK(f.output.delivered.size() == deliveredBefore + 1);
  }
  SUBCASE("the balancer gets one load report when a slot is free")
  {
    const auto sentBefore = f.output.toBalancers.size();
    f.sendAnswer(1);
    REQUIRE(f.output.toBalancers.size() == sentBefore + 1);
    CHECK(f.output.toBalancers.back().message.kind == MessageKind::LoadReport);
    CHECK(f.output.toBalancers.back().message.load.inProgress == 1);
    f.sendAnswer(2);
    CHECK(f.output.toBalancers.size() == sentBefore + 1);
  }
  SUBCASE("admitted after a request is answered")
  {
    f.sendAnswer(1);
    f.forward(Fixture::synPacket(3));
    CHECK(f.output.delivered.size() == deliveredBefore + 1);
  }
  SUBCASE("an admitted flow uses a slot before its first request")
  {
    f.sendAnswer(1);
    f.forward(Fixture::synPacket(3));
    f.forward(Fixture::synPacket(4));
    CHECK(f.output.delivered.size() == deliveredBefore + 1);
  }
}

TEST_CASE("retransmitted requests and repeated answers do not change the load")
{
  Fixture f;
  f.startRequest(1);
  f.forward(Fixture::dataPacket(1, 1));
  CHECK(f.controller.inProgress() == 1);
  f.sendAnswer(1);
  f.sendAnswer(1);
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::dataPacket(1, 1));
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::dataPacket(1, 10));
  CHECK(f.controller.inProgress() == 1);
}

TEST_CASE("a long-lived flow uses a slot only while a request is in progress")
{
  Fixture f;
  f.isLongLived = true;
  f.forward(Fixture::synPacket(1));
  f.sendSynAck(1);
  // The first request is expected to follow the SYN.
  CHECK(f.controller.inProgress() == 1);
  f.forward(Fixture::dataPacket(1, 1));
  CHECK(f.controller.inProgress() == 1);
  f.sendAnswer(1);
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::dataPacket(1, 20));
  CHECK(f.controller.inProgress() == 1);
  f.sendAnswer(1, true);
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::callerFin(1));
  f.now += 5s;
  f.controller.tick(f.now);
  CHECK(f.controller.openFlows() == 0);
}

TEST_CASE("data received after the end of a flow uses no slot")
{
  Fixture f;
  f.startRequest(1);
  f.sendAnswer(1, true);
  CHECK(f.controller.inProgress() == 0);
  f.forward(Fixture::dataPacket(1, 1));
  f.forward(Fixture::dataPacket(1, 20));
  CHECK(f.controller.inProgress() == 0);
  SUBCASE("a new flow from the same port uses a slot")
  {
    f.forward(Fixture::synPacket(1));
    CHECK(f.controller.inProgress() == 1);
  }
}

namespace {

/** Uses both slots, and prefetches one request. */
void
fillSlots(Fixture& aFixture)
{
  aFixture.latencyObjective = 300ms;
  for (std::uint16_t i = 1; i <= 3; ++i) {
    aFixture.startRequest(i);
  }
  REQUIRE(aFixture.controller.queuedRequests() == 0);
}

/** Port of the caller whose packet was delivered last. */
std::uint16_t
lastDeliveredCaller(const Fixture& aFixture)
{
  return Test::TestFormat::parse(aFixture.output.delivered.back())
    ->flowFromCaller()
    .caller.port;
}

} // namespace

TEST_CASE("requests beyond the slots are queued and served newest first")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  f.now += 10ms;
  f.startRequest(5);
  CHECK(f.controller.queuedRequests() == 2);
  CHECK(f.controller.inProgress() == 3);
  f.sendAnswer(1);
  CHECK(lastDeliveredCaller(f) == 5);
  f.sendAnswer(2);
  CHECK(lastDeliveredCaller(f) == 4);
  CHECK(f.controller.queuedRequests() == 0);
}

TEST_CASE("late requests are served after those that are on time")
{
  Fixture f;
  fillSlots(f);
  f.forward(Fixture::synPacket(4), kBalancer, 500ms);
  f.sendSynAck(4);
  f.forward(Fixture::synPacket(6), kBalancer, 700ms);
  f.sendSynAck(6);
  f.forward(Fixture::dataPacket(4, 1));
  f.forward(Fixture::dataPacket(6, 1));
  f.startRequest(5);
  CHECK(f.controller.queuedRequests() == 3);
  f.sendAnswer(1);
  CHECK(lastDeliveredCaller(f) == 5);
  f.sendAnswer(2);
  CHECK(lastDeliveredCaller(f) == 6);
  f.sendAnswer(3);
  CHECK(lastDeliveredCaller(f) == 4);
}

TEST_CASE("a late flow is rejected if it cannot be served before its timeout")
{
  Fixture f;
  fillSlots(f);
  // Three requests of 50 ms each on two slots: a slot is free after 50 ms.
  f.forward(Fixture::synPacket(4), kBalancer, 1'950ms);
  CHECK(f.rejections().size() == 1);
  f.forward(Fixture::synPacket(4), kBalancer, 1'949ms);
  CHECK(f.rejections().size() == 1);
}

TEST_CASE("further data of a queued request is delivered with it, "
          "retransmissions are not")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  f.forward(Fixture::dataPacket(4, 1));
  f.forward(Fixture::dataPacket(4, 10));
  const auto deliveredBefore = f.output.delivered.size();
  f.sendAnswer(1);
  CHECK(f.output.delivered.size() == deliveredBefore + 2);
}

TEST_CASE("a reset by the caller removes its request from the queue")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  Test::PacketFields reset;
  reset.flow = Test::flowOf(4);
  reset.isReset = true;
  f.forward(Test::encode(reset));
  CHECK(f.controller.queuedRequests() == 0);
  const auto deliveredBefore = f.output.delivered.size();
  f.sendAnswer(1);
  CHECK(f.output.delivered.size() == deliveredBefore);
}

// Load: after a power loss, a fifth of the queued requests have callers that
// gave up, while new ones wait behind them.
TEST_CASE("a request whose caller has closed is served after all others")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  f.forward(Fixture::callerFin(4));
  CHECK(f.controller.queuedRequests() == 1);
  f.now += 70ms;
  f.forward(Fixture::synPacket(5), kBalancer, 200ms);
  f.sendSynAck(5);
  CHECK(f.output.toBalancers.back().message.load.lateRequests == 0);
  f.forward(Fixture::dataPacket(5, 1));
  f.sendAnswer(1);
  CHECK(lastDeliveredCaller(f) == 5);
  SUBCASE("and gets an answer if its caller still reads")
  {
    f.sendAnswer(2);
    CHECK(lastDeliveredCaller(f) == 4);
    CHECK(f.controller.queuedRequests() == 0);
  }
  SUBCASE("and is not delivered after its caller has left")
  {
    f.now += 2'000ms;
    f.controller.tick(f.now);
    const auto before = f.output.delivered.size();
    f.forward(Fixture::dataPacket(4, 1));
    CHECK(f.output.delivered.size() == before);
  }
}

TEST_CASE("an expired request is removed from the queue")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  f.now += 2s;
  f.controller.tick(f.now);
  CHECK(f.controller.queuedRequests() == 0);
}

TEST_CASE("a request that cannot be answered in time gets no slot, and its "
          "flow is not reset")
{
  Fixture f;
  fillSlots(f);
  f.startRequest(4);
  f.priority = 1;
  f.startRequest(5);
  const auto toCallersBefore = f.output.toCallers.size();
  // With the initial service time of 50 ms, caller 5 cannot be answered.
  f.now += 1'950ms;
  f.sendAnswer(1);
  CHECK(lastDeliveredCaller(f) == 4);
  CHECK(f.controller.queuedRequests() == 0);
  CHECK(f.output.toCallers.size() == toCallersBefore + 1);
  SUBCASE("its retransmission is not delivered either")
  {
    const auto deliveredBefore = f.output.delivered.size();
    f.forward(Fixture::dataPacket(5, 1));
    CHECK(f.output.delivered.size() == deliveredBefore);
  }
}

TEST_CASE("less urgent requests do not keep a more urgent one from being "
          "admitted")
{
  Fixture f;
  f.priority = 1;
  fillSlots(f);
  f.startRequest(4);
  f.startRequest(5);
  // Admitted, but without a request yet.
  f.forward(Fixture::synPacket(6));
  REQUIRE(f.rejections().empty());
  f.forward(Fixture::synPacket(7));
  REQUIRE(f.rejections().size() == 1);
  f.priority = 0;
  f.forward(Fixture::synPacket(8));
  CHECK(f.rejections().size() == 1);
  SUBCASE("and it is served first")
  {
    f.sendSynAck(8);
    f.forward(Fixture::dataPacket(8, 1));
    f.sendAnswer(1);
    CHECK(lastDeliveredCaller(f) == 8);
  }
}

TEST_CASE("data of an unconfirmed flow is never queued")
{
  Fixture f;
  fillSlots(f);
  const auto deliveredBefore = f.output.delivered.size();
  f.forward(Fixture::dataPacket(9, 1), kOtherBalancer, 0ms, true);
  CHECK(f.output.delivered.size() == deliveredBefore + 1);
  f.returnLastPacket();
  CHECK(f.rejections().back().message.reason == RejectReason::UnknownFlow);
  CHECK(f.controller.inProgress() == 3);
}

TEST_CASE("packets for another service are rejected, not delivered")
{
  Fixture f;
  f.forward(Fixture::synPacket(1), kBalancer, 0ms, false, "blue");
  f.forward(Fixture::dataPacket(1, 1), kBalancer, 0ms, false, "blue");
  CHECK(f.output.delivered.empty());
  REQUIRE(f.output.toBalancers.size() == 2);
  CHECK(f.output.toBalancers[0].message.reason == RejectReason::WrongService);
}

TEST_CASE("the rejection of a returned packet is sent to the balancer that "
          "forwarded it")
{
  Fixture f;
  f.forward(Fixture::dataPacket(9, 1), kOtherBalancer);
  f.forward(Fixture::dataPacket(1, 1), kBalancer, 0ms, true);
  f.returnLastPacket();
  REQUIRE(f.output.toBalancers.size() == 1);
  const auto& rejection = f.output.toBalancers[0];
  CHECK(rejection.to == kBalancer);
  CHECK(rejection.message.reason == RejectReason::UnknownFlow);
  CHECK(rejection.body == Fixture::dataPacket(1, 1));
  CHECK(f.output.toCallers.empty());
}

TEST_CASE(
  "a returned packet with the token of a previous incarnation is dropped")
{
  Fixture f;
  Test::PacketFields fields;
  fields.flow = Test::flowOf(1);
  fields.isReturned = true;
  fields.token = 5;
  f.controller.handleTargetPacket(Test::encode(fields), f.now);
  CHECK(f.output.toBalancers.empty());
  CHECK(f.output.toCallers.empty());
}

TEST_CASE("a forwarded packet can request an owner notice for a confirmed flow")
{
  Fixture f;
  f.startRequest(1);
  f.sendAnswer(1);
  f.forward(Fixture::dataPacket(1, 20), kOtherBalancer, 0ms, true);
  CHECK(f.output.toBalancers.back().to == kOtherBalancer);
  CHECK(f.output.toBalancers.back().message.kind == MessageKind::OwnerNotice);
}

TEST_CASE("an owner query is answered by what the agent knows of the flow")
{
  Fixture f;
  f.startRequest(1);
  const auto sendOwnerQuery = [&f](std::uint16_t aCallerPort,
                                   bool aWantsUnknownFlowReply = true) {
    AgentMessage message;
    message.kind = MessageKind::OwnerQuery;
    message.wantsUnknownFlowReply = aWantsUnknownFlowReply;
    Bytes bytes;
    message.appendTo(bytes);
    Steering::OwnerNotice{ Test::flowOf(aCallerPort), 0 }.appendTo(bytes);
    f.controller.handleBalancerMessage(kOtherBalancer, bytes, f.now);
  };
  const auto sentBefore = f.output.toBalancers.size();
  sendOwnerQuery(2, false);
  CHECK(f.output.toBalancers.size() == sentBefore);
  sendOwnerQuery(2);
  REQUIRE(f.output.toBalancers.size() == sentBefore + 1);
  CHECK(f.output.toBalancers.back().to == kOtherBalancer);
  CHECK(f.output.toBalancers.back().message.kind ==
        MessageKind::UnknownFlowReply);
  CHECK(f.output.toBalancers.back().message.reason ==
        Steering::RejectReason::None);
  sendOwnerQuery(1);
  REQUIRE(f.output.toBalancers.size() == sentBefore + 2);
  CHECK(f.output.toBalancers.back().to == kOtherBalancer);
  CHECK(f.output.toBalancers.back().message.kind == MessageKind::OwnerNotice);
  f.sendAnswer(1, true);
  sendOwnerQuery(1);
  REQUIRE(f.output.toBalancers.size() == sentBefore + 3);
  CHECK(f.output.toBalancers.back().message.kind ==
        MessageKind::UnknownFlowReply);
  CHECK(f.output.toBalancers.back().message.reason ==
        Steering::RejectReason::None);
  f.now += Steering::TargetFlowTable::kIdleTimeout;
  sendOwnerQuery(2);
  CHECK(f.output.toBalancers.back().message.reason ==
        Steering::RejectReason::UnknownFlow);
}

// Guards against an agent that takes a record of an earlier flow from the same
// port for one of the flow that is searched.
TEST_CASE("an owner query tells flows from the same port apart")
{
  Fixture f;
  f.startRequest(1);
  CHECK(f.queryOwner(1).kind == MessageKind::OwnerNotice);
  CHECK(f.queryOwner(1, 40).kind == MessageKind::OwnerNotice);
  CHECK(f.queryOwner(1, 900'000'000).kind == MessageKind::UnknownFlowReply);
}

// Guards against new flows that are admitted because an earlier one from the
// same port was, or whose request counts as a retransmission of its request.
TEST_CASE("a SYN from the port of an earlier flow is admitted as a new one")
{
  Fixture f;
  f.startRequest(1);
  SUBCASE("the earlier flow has ended")
  {
    f.sendAnswer(1, true);
  }
  SUBCASE("the end of the earlier flow was not seen") {}
  auto syn = [](std::uint32_t aSequence) {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(1);
    fields.isSyn = true;
    fields.sequence = aSequence;
    return Test::encode(fields);
  };
  SUBCASE("the agent is draining")
  {
    f.controller.startDraining(f.now);
    const auto count = f.output.delivered.size();
    f.forward(syn(900'000'000));
    CHECK(f.output.delivered.size() == count);
    CHECK(f.output.toBalancers.back().message.reason == RejectReason::Draining);
  }
  SUBCASE("the agent admits it")
  {
    const auto lastSequence = [&f] {
      return Test::TestFormat::parse(f.output.delivered.back())->sequence();
    };
    f.forward(syn(900'000'000));
    CHECK(lastSequence() == 900'000'000);
    f.sendSynAck(1, 800);
    f.forward(Fixture::dataPacket(1, 900'000'001));
    CHECK(f.controller.inProgress() == 1);
    CHECK(lastSequence() == 900'000'001);
  }
}

// Guards against a backend server that resets a new flow, because it has ended
// an earlier one from the same port.
TEST_CASE(
  "a packet of a flow that another target owns is rejected after the end "
  "of an earlier one")
{
  Fixture f;
  f.startRequest(1);
  f.sendAnswer(1, true);
  const auto count = f.output.delivered.size();
  f.forward(Fixture::dataPacket(1, 900'000'000));
  CHECK(f.output.delivered.size() == count);
  CHECK(f.output.toBalancers.back().message.kind == MessageKind::Reject);
  CHECK(f.output.toBalancers.back().message.reason ==
        RejectReason::UnknownFlow);
  // The last packets of the earlier flow are still delivered.
  f.forward(Fixture::callerFin(1));
  CHECK(f.output.delivered.size() == count + 1);
}

namespace {

/** Runs the agent for longer than it needs to know all flows. */
void
completeHistory(Fixture& aFixture)
{
  aFixture.now += Steering::ReportedLoad::kFullHistoryTime;
  aFixture.controller.tick(aFixture.now);
}

} // namespace

// Guards against the reset of an open flow: its agent forgot the flow together
// with the request that was given up, and said that no flow exists.
TEST_CASE("the flow of a given-up request stays known")
{
  Fixture f;
  completeHistory(f);
  f.startRequest(9);
  f.sendAnswer(9);
  for (std::uint16_t caller = 1; caller <= 3; ++caller) {
    f.startRequest(caller);
  }
  const auto request = Fixture::dataPacket(9, 50);
  f.forward(request);
  REQUIRE(f.controller.queuedRequests() == 1);
  f.now += 2'100ms;
  f.controller.tick(f.now);
  REQUIRE(f.controller.queuedRequests() == 0);
  CHECK(f.queryOwner(9, 50).kind == MessageKind::OwnerNotice);
  SUBCASE("a retransmission is delivered if there is a free slot")
  {
    f.sendAnswer(1);
    const auto count = f.output.delivered.size();
    f.forward(request);
    CHECK(f.output.delivered.size() == count + 1);
    CHECK(f.controller.inProgress() == 3);
  }
  SUBCASE("a retransmission is queued otherwise")
  {
    f.forward(request);
    CHECK(f.controller.queuedRequests() == 1);
    f.controller.tick(f.now + 10ms);
    CHECK(f.controller.queuedRequests() == 1);
  }
}

// Guards against the reset of a flow that its caller has not closed yet, and of
// one that is idle for longer than the time after which an agent knows all
// flows.
TEST_CASE("a flow stays known until both sides have closed it")
{
  Fixture f;
  completeHistory(f);
  f.startRequest(1);
  SUBCASE("neither side has closed it")
  {
    f.sendAnswer(1);
    f.now += 59s;
    f.controller.tick(f.now);
    CHECK(f.queryOwner(1).kind == MessageKind::OwnerNotice);
  }
  SUBCASE("the backend server has closed it")
  {
    f.sendAnswer(1, true);
    f.now += 59s;
    f.controller.tick(f.now);
    // The backend server is asked.
    CHECK(f.queryOwner(1).reason == RejectReason::None);
  }
  SUBCASE("both sides have closed it")
  {
    f.sendAnswer(1, true);
    f.forward(Fixture::callerFin(1));
    f.now += Steering::TargetFlowTable::kEndedFlowRetention;
    f.controller.tick(f.now);
    CHECK(f.queryOwner(1).reason == RejectReason::UnknownFlow);
  }
  SUBCASE("the backend server has reset it")
  {
    f.resetByTarget(1);
    f.now += Steering::TargetFlowTable::kEndedFlowRetention;
    f.controller.tick(f.now);
    CHECK(f.queryOwner(1).reason == RejectReason::UnknownFlow);
  }
}

TEST_CASE("an owner query is answered with a stored owner hint")
{
  Fixture f;
  const Core::Endpoint owner{ 0x0A020009, 8172 };
  const auto sendMessage = [&f](MessageKind aKind, const Bytes& aBody) {
    AgentMessage message;
    message.kind = aKind;
    message.wantsUnknownFlowReply = true;
    Bytes bytes;
    message.appendTo(bytes);
    bytes.insert(bytes.end(), aBody.begin(), aBody.end());
    f.controller.handleBalancerMessage(kOtherBalancer, bytes, f.now);
  };
  Bytes hint;
  Steering::OwnerHint{ Test::flowOf(1), owner }.appendTo(hint);
  Bytes query;
  Steering::OwnerNotice{ Test::flowOf(1), 0 }.appendTo(query);
  sendMessage(MessageKind::StoreOwnerHint, hint);
  CHECK(f.output.toBalancers.empty());
  sendMessage(MessageKind::OwnerQuery, query);
  REQUIRE(f.output.toBalancers.size() == 2);
  CHECK(f.output.toBalancers.back().message.kind ==
        MessageKind::UnknownFlowReply);
  const auto& reply = f.output.toBalancers.front();
  CHECK(reply.to == kOtherBalancer);
  CHECK(reply.message.kind == MessageKind::OwnerHintReply);
  const auto parsed = Steering::OwnerHint::parse(reply.body);
  REQUIRE(parsed.ok());
  CHECK(parsed->flow == Test::flowOf(1));
  CHECK(parsed->agent == owner);

  SUBCASE("an owner notice takes precedence over the hint")
  {
    f.startRequest(1);
    sendMessage(MessageKind::OwnerQuery, query);
    CHECK(f.output.toBalancers.back().message.kind == MessageKind::OwnerNotice);
  }
  SUBCASE("the hint expires after a minute")
  {
    f.now += 60s;
    f.controller.tick(f.now);
    sendMessage(MessageKind::OwnerQuery, query);
    REQUIRE(f.output.toBalancers.size() == 3);
    CHECK(f.output.toBalancers.back().message.kind ==
          MessageKind::UnknownFlowReply);
  }
  SUBCASE("a malformed hint is dropped")
  {
    sendMessage(MessageKind::StoreOwnerHint, query);
    CHECK(f.controller.counters().value(
            Steering::SteeringCounter::PacketsMalformed) == 1);
  }
}

TEST_CASE("an agent reports a full history after the idle timeout")
{
  Fixture f;
  f.startRequest(1);
  CHECK_FALSE(f.output.toBalancers.back().message.load.hasFullHistory);
  f.now += 30s;
  f.startRequest(2);
  CHECK(f.output.toBalancers.back().message.load.hasFullHistory);
}

TEST_CASE("owner notices are sent again after a restart of the agent")
{
  Fixture f;
  f.forward(Fixture::dataPacket(1, 20), kOtherBalancer, 0ms, true);
  CHECK(f.output.toBalancers.empty());
  f.sendAnswer(1);
  REQUIRE(f.output.toBalancers.size() == 1);
  CHECK(f.output.toBalancers[0].message.kind == MessageKind::OwnerNotice);
}

TEST_CASE("an unanswered SYN is rejected after the timeout")
{
  Fixture f;
  f.forward(Fixture::synPacket(1));
  CHECK(f.controller.timeUntilTick().has_value());
  f.now += 59ms;
  f.controller.tick(f.now);
  CHECK(f.rejections().empty());
  f.now += 1ms;
  f.controller.tick(f.now);
  REQUIRE(f.rejections().size() == 1);
  CHECK(f.rejections()[0].message.reason == RejectReason::Unresponsive);
  CHECK(f.rejections()[0].body == Fixture::synPacket(1));
  CHECK(f.controller.inProgress() == 0);

  SUBCASE("two in a row make the backend server unresponsive")
  {
    f.forward(Fixture::synPacket(2));
    f.now += 60ms;
    f.controller.tick(f.now);
    f.forward(Fixture::synPacket(3));
    CHECK(f.output.delivered.size() == 2);
    CHECK(f.output.toBalancers.back().message.load.isUnavailable);
    f.now += 500ms;
    f.forward(Fixture::synPacket(4));
    CHECK(f.output.delivered.size() == 3);
    f.sendSynAck(4);
    f.forward(Fixture::synPacket(5));
    CHECK(f.output.delivered.size() == 4);
  }
}

TEST_CASE("a draining agent rejects new flows and serves existing ones")
{
  Fixture f;
  f.startRequest(1);
  f.controller.startDraining(f.now);
  CHECK(f.output.toBalancers.back().message.load.isUnavailable);
  f.forward(Fixture::synPacket(2));
  CHECK(f.output.toBalancers.back().message.reason == RejectReason::Draining);
  const auto deliveredBefore = f.output.delivered.size();
  f.forward(Fixture::dataPacket(1, 30));
  CHECK(f.output.delivered.size() == deliveredBefore + 1);
}

TEST_CASE("messages contain the newest map revision received from a balancer")
{
  Fixture f;
  AgentMessage probe;
  probe.kind = MessageKind::Probe;
  for (const Steering::MapRevision& revision :
       { Steering::MapRevision{ 1, 12 }, { 2, 9 }, { 2, 7 } }) {
    probe.mapRevision = revision;
    Bytes bytes;
    probe.appendTo(bytes);
    f.controller.handleBalancerMessage(kBalancer, bytes, f.now);
  }
  CHECK(f.output.toBalancers.back().message.mapRevision ==
        Steering::MapRevision{ 2, 9 });
}

TEST_CASE("load reports are sent on change, within the rate limit")
{
  Fixture f;
  f.startRequest(1);
  const auto sentBeforeFirstReport = f.output.toBalancers.size();
  // The owner notice has reported this load.
  f.controller.tick(f.now);
  CHECK(f.output.toBalancers.size() == sentBeforeFirstReport);
  f.sendAnswer(1);
  f.controller.tick(f.now);
  CHECK(f.output.toBalancers.size() == sentBeforeFirstReport + 1);
  // The load returns to that of the last report, but the owner notice has
  // reported another one.
  f.startRequest(2);
  f.sendAnswer(2);
  const auto sentBeforeSecondReport = f.output.toBalancers.size();
  f.controller.tick(f.now + 50ms);
  CHECK(f.output.toBalancers.size() == sentBeforeSecondReport);
  f.controller.tick(f.now + 100ms);
  CHECK(f.output.toBalancers.size() == sentBeforeSecondReport + 1);
  f.controller.tick(f.now + 300ms);
  CHECK(f.output.toBalancers.size() == sentBeforeSecondReport + 1);
}

// Guards against balancers that count the flows of single requests as future
// load, and select a busy target with few of them.
TEST_CASE("flows are not reported as long-lived if callers do not reuse them")
{
  Fixture f;
  f.isLongLived = true;
  const auto reportedFlows = [&f] {
    AgentMessage probe;
    probe.kind = MessageKind::Probe;
    Bytes bytes;
    probe.appendTo(bytes);
    f.controller.handleBalancerMessage(kBalancer, bytes, f.now);
    return f.output.toBalancers.back().message.load.longLivedFlows;
  };
  f.startRequest(1);
  CHECK(reportedFlows() == 1);
  for (std::uint16_t caller = 2; caller <= 22; ++caller) {
    f.startRequest(caller);
    f.sendAnswer(caller, true);
  }
  CHECK(reportedFlows() == 0);
  f.sendAnswer(1);
  f.forward(Fixture::dataPacket(1, 10));
  CHECK(reportedFlows() == 1);
  SUBCASE("a flow that has ended no longer counts")
  {
    f.sendAnswer(1, true);
    CHECK(reportedFlows() == 0);
  }
  SUBCASE("all flows count again once callers reuse them")
  {
    for (std::uint16_t caller = 30; caller <= 40; ++caller) {
      f.startRequest(caller);
      f.sendAnswer(caller);
      f.forward(Fixture::dataPacket(caller, 10));
      f.sendAnswer(caller);
    }
    f.startRequest(41);
    CHECK(reportedFlows() == 13);
  }
}

// Guards against late requests that get each free slot because those on time
// are rejected and wait at balancers.
TEST_CASE("while late requests are queued, more on-time flows are admitted")
{
  Fixture f;
  f.latencyObjective = 250ms;
  for (std::uint16_t caller = 1; caller <= 5; ++caller) {
    f.startRequest(caller);
  }
  f.forward(Fixture::synPacket(20));
  REQUIRE(f.rejections().size() == 1);
  f.forward(Fixture::synPacket(6), kBalancer, 300ms);
  f.sendSynAck(6);
  f.forward(Fixture::dataPacket(6, 1));
  f.forward(Fixture::synPacket(21));
  CHECK(f.rejections().size() == 1);
  // No answer on time is likely any more.
  for (std::uint16_t caller = 22; caller <= 40; ++caller) {
    f.startRequest(caller);
  }
  CHECK(f.rejections().size() > 1);
}

TEST_CASE("a request without an answer releases its slot after the timeout")
{
  Fixture f;
  f.startRequest(1);
  f.now += 10s;
  f.controller.tick(f.now);
  CHECK(f.controller.inProgress() == 0);
}

TEST_CASE(
  "an admitted flow without a request releases its slot after the timeout")
{
  Fixture f;
  f.forward(Fixture::synPacket(1));
  f.sendSynAck(1);
  CHECK(f.controller.inProgress() == 1);
  f.now += 100ms;
  f.controller.tick(f.now);
  CHECK(f.controller.inProgress() == 0);
}

TEST_CASE("an open flow stays known when a copy of its SYN arrives late")
{
  Fixture f;
  f.now += Steering::TargetFlowTable::kIdleTimeout;
  f.startRequest(1);
  f.sendAnswer(1);
  f.forward(Fixture::synPacket(1));
  SUBCASE("and the backend server ignores it") {}
  SUBCASE("and the backend server acknowledges it without SYN")
  {
    Test::PacketFields fields;
    fields.flow = Test::flowOf(1);
    fields.isFromTarget = true;
    f.controller.handleTargetPacket(Test::encode(fields), f.now);
  }
  SUBCASE("and the backend server returns it")
  {
    f.returnLastPacket();
  }
  f.now += 60ms;
  f.controller.tick(f.now);
  AgentMessage message;
  message.kind = MessageKind::OwnerQuery;
  message.wantsUnknownFlowReply = true;
  Bytes bytes;
  message.appendTo(bytes);
  Steering::OwnerNotice{ Test::flowOf(1), 0 }.appendTo(bytes);
  f.controller.handleBalancerMessage(kOtherBalancer, bytes, f.now);
  CHECK(f.output.toBalancers.back().message.kind == MessageKind::OwnerNotice);
}

// Guards against new flows in an evacuated zone from balancers that have not
// heard of the evacuation, and against the loss of open flows.
TEST_CASE("an agent of an evacuated zone rejects new flows and no others")
{
  Fixture f;
  f.mapRevision = { 1, 5 };
  f.startRequest(1);
  f.isZoneEvacuated = true;
  f.mapRevision = { 1, 7 };
  f.forward(Fixture::dataPacket(1, 10));
  CHECK(f.controller.evacuation().isEvacuated);
  CHECK(f.controller.evacuation().since == f.mapRevision);
  const auto deliveredBefore = f.output.delivered.size();
  f.isZoneEvacuated = false;
  f.mapRevision = { 1, 6 };
  f.forward(Fixture::synPacket(2), kOtherBalancer);
  REQUIRE(f.rejections().size() == 1);
  const auto message = f.rejections().back().message;
  CHECK(message.reason == RejectReason::Evacuated);
  CHECK(message.load.isUnavailable);
  CHECK(f.controller.counters().value(
          Steering::SteeringCounter::OpeningsEvacuated) == 1);
  SUBCASE("a copy of the SYN of an open flow and its requests are delivered")
  {
    f.forward(Fixture::synPacket(1), kOtherBalancer);
    f.sendAnswer(1);
    f.forward(Fixture::dataPacket(1, 20), kOtherBalancer);
    CHECK(f.output.delivered.size() == deliveredBefore + 2);
  }
  SUBCASE("a SYN on the port of a flow that has ended is rejected")
  {
    f.sendAnswer(1, true);
    f.forward(Fixture::synPacket(1), kOtherBalancer);
    CHECK(f.rejections().size() == 2);
  }
  SUBCASE("new flows are admitted again after a newer revision without it")
  {
    f.mapRevision = { 1, 8 };
    f.forward(Fixture::synPacket(3));
    CHECK(f.rejections().size() == 1);
    CHECK(f.output.delivered.size() == deliveredBefore + 1);
  }
}

// A restarted agent has no flag; it must not wait for a change of the map.
TEST_CASE("a restarted agent takes the evacuation from the next message")
{
  Fixture f;
  f.isZoneEvacuated = true;
  f.mapRevision = { 1, 7 };
  f.forward(Fixture::dataPacket(1, 1));
  f.mapRevision = { 1, 6 };
  f.isZoneEvacuated = false;
  f.forward(Fixture::synPacket(2), kOtherBalancer);
  REQUIRE(f.rejections().size() == 1);
  CHECK(f.rejections().back().message.reason == RejectReason::Evacuated);
}

// Guards against balancers that together exceed the limit, and against a window
// that wastes what the limit allows.
TEST_CASE("no sliding second exceeds the limit at twice the load in bursts")
{
  ColdFixture f;
  std::uint16_t caller = 100;
  REQUIRE(f.request(1));
  for (std::uint32_t step = 0; step < 8'000; ++step) {
    f.now += 1ms;
    f.slowStart->remaining = 10'000ms - std::chrono::milliseconds(step);
    for (std::uint32_t i = 0; step % 250 == 0 && i < f.kLimit / 2; ++i) {
      f.request(++caller, { kBalancer.address + i, 7720 });
    }
    if (step % 200 == 0 && f.controller.queuedRequests() == 0) {
      f.sendData(1, 10 + step);
    }
    f.controller.tick(f.now);
    f.answerAll();
  }
  CHECK(f.peak(f.syns) <= f.kLimit);
  CHECK(f.peak(f.requests) <= f.kLimit);
  // A place is free after at most 1,070 ms, and the next burst takes it.
  CHECK(f.requests.size() >= f.kLimit * 8'000 / (1'070 + 250));

  SUBCASE("a server that starts again is limited for its whole slow start")
  {
    f.slowStart->remaining = 10'000ms;
    ++f.mapRevision.change;
    f.request(++caller);
    f.now += 5s;
    for (int i = 0; i < 2 * f.kLimit; ++i) {
      f.request(++caller);
    }
    CHECK(f.peak(f.requests) <= f.kLimit);
  }
  SUBCASE("the limit ends when the remaining time has passed")
  {
    f.now += 3s;
    f.slowStart.reset();
    for (int i = 0; i < 2 * f.kLimit; ++i) {
      CHECK(f.request(++caller));
    }
  }
}

// Guards against a delayed first request that shares a second with newer ones.
TEST_CASE("a first request keeps its place from the SYN until a second later")
{
  ColdFixture f;
  for (std::uint16_t caller = 1; caller <= f.kLimit; ++caller) {
    f.forward(Fixture::synPacket(caller));
    f.sendSynAck(caller);
  }
  f.now += 600ms;
  for (std::uint16_t caller = 1; caller <= f.kLimit; ++caller) {
    f.sendData(caller, 1);
  }
  CHECK(f.requests.size() == f.kLimit);
  f.now += 900ms;
  CHECK_FALSE(f.request(99));
  CHECK(f.rejections().back().message.reason == RejectReason::SlowStartLimit);
  f.now += 200ms;
  CHECK(f.request(99));
}

// Guards against an agent that is suspended between its clock and the delivery,
// and delivers as many requests again when it resumes.
TEST_CASE("requests count from the time at which they were sent")
{
  ColdFixture f;
  for (std::uint16_t caller = 1; caller <= f.kLimit; ++caller) {
    CHECK(f.request(caller));
  }
  f.now += 5s;
  f.controller.recordSent(f.now);
  CHECK_FALSE(f.request(99));
  f.now += 1'070ms;
  CHECK(f.request(99));
}

// Guards against requests that stay queued although the window has room.
TEST_CASE("a further request waits until the window has room")
{
  ColdFixture f;
  f.slowStart->limit = 1;
  REQUIRE(f.request(1));
  f.sendData(1, 20);
  CHECK(f.requests.size() == 1);
  for (int ticks = 0; f.requests.size() == 1 && ticks < 100; ++ticks) {
    f.now += *f.controller.timeUntilTick();
    f.controller.tick(f.now);
    f.answerAll();
  }
  CHECK(f.now - f.requests.front() > 1s);
  CHECK(f.now - f.requests.front() <= 1'070ms);
}

// Guards against requests of the agent's previous run being forgotten.
TEST_CASE("an agent that has just started gives a cold server nothing at first")
{
  ColdFixture f;
  f.now -= 1'001ms;
  CHECK_FALSE(f.request(1));
  f.sendData(2, 20);
  CHECK(f.requests.empty());
  f.now += 100ms;
  f.controller.tick(f.now);
  f.answerAll();
  CHECK(f.requests.size() == 1);
}

// Guards against a limit that no configuration asked for, and old maps.
TEST_CASE("only a limit above 0 of the newest map limits")
{
  ColdFixture f;
  SUBCASE("no limit")
  {
    f.slowStart.reset();
  }
  SUBCASE("limit 0")
  {
    f.slowStart->limit = 0;
  }
  SUBCASE("the server is not cold in a newer map")
  {
    f.request(500);
    f.slowStart.reset();
    ++f.mapRevision.change;
  }
  for (std::uint16_t caller = 1; caller <= 2 * f.kLimit; ++caller) {
    CHECK(f.request(caller));
  }
  f.mapRevision = {};
  f.slowStart = { 1, 5'000ms };
  CHECK(f.request(1'000));
}

// Guards against the speed of a previous incarnation of the backend server.
TEST_CASE("the service time is learned anew when open flows are returned")
{
  Fixture f;
  for (std::uint16_t i = 1; i <= 10; ++i) {
    f.startRequest(i);
    f.now += 20ms;
    f.sendAnswer(i);
  }
  f.forward(Fixture::synPacket(20));
  f.sendSynAck(20);
  CHECK(f.output.toBalancers.back().message.load.serviceTime == 20ms);
  for (std::uint16_t i = 1; i <= 2; ++i) {
    f.forward(Fixture::dataPacket(i, 10));
    f.returnLastPacket();
  }
  CHECK(f.output.toBalancers.back().message.load.serviceTime == 0ms);
}
