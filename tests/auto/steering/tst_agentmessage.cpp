#include "steering/agentmessage.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;

Steering::AgentMessage
roundTrip(const Steering::AgentMessage& aMessage)
{
  std::vector<std::uint8_t> bytes;
  aMessage.appendTo(bytes);
  CHECK(bytes.size() == aMessage.size());
  const auto parsed = Steering::AgentMessage::parse(bytes);
  REQUIRE(parsed.ok());
  return *parsed;
}

} // namespace

TEST_CASE("agent message: fields sent by a balancer survive a round trip")
{
  Steering::AgentMessage message;
  message.kind = Steering::MessageKind::Forward;
  message.wantsOwnerNotice = true;
  message.serviceTag = 0xA1B2C3D4;
  message.slots = 7;
  message.age = 250ms;
  message.latencyObjective = 300ms;
  message.timeout = 90s;
  message.mapRevision = { 3, 0x123456789A };
  message.sendTime = Steering::SendTime(0xFEDCBA98);
  const auto parsed = roundTrip(message);
  CHECK(parsed.kind == Steering::MessageKind::Forward);
  CHECK(parsed.wantsOwnerNotice);
  CHECK_FALSE(parsed.wantsUnknownFlowReply);
  CHECK_FALSE(parsed.isLongLived);
  CHECK(parsed.serviceTag == 0xA1B2C3D4);
  CHECK(parsed.slots == 7);
  CHECK(parsed.age == 250ms);
  CHECK(parsed.latencyObjective == 300ms);
  CHECK(parsed.timeout == 65'535ms);
  CHECK(parsed.mapRevision == Steering::MapRevision{ 3, 0x123456789A });
  CHECK(parsed.sendTime == Steering::SendTime(0xFEDCBA98));
  CHECK(parsed.size() == Steering::AgentMessage::kBytes);
}

TEST_CASE("agent message: priority, evacuation and slow start survive a trip")
{
  Steering::AgentMessage message;
  message.kind = Steering::MessageKind::Forward;
  message.priority = 200;
  message.isZoneEvacuated = true;
  message.isIdempotent = true;
  message.ignoresEjection = true;
  message.slowStart = { 35, 1'700ms };
  const auto parsed = roundTrip(message);
  CHECK(parsed.priority == 200);
  CHECK(parsed.isZoneEvacuated);
  CHECK(parsed.isIdempotent);
  CHECK(parsed.ignoresEjection);
  CHECK_FALSE(parsed.load.isEjected);
  REQUIRE(parsed.slowStart.has_value());
  CHECK(parsed.slowStart->limit == 35);
  CHECK(parsed.slowStart->remaining == 1'700ms);
  CHECK(parsed.size() == 36);
}

TEST_CASE("agent message: fields sent by an agent survive a round trip")
{
  Steering::AgentMessage message;
  message.kind = Steering::MessageKind::Reject;
  message.reason = Steering::RejectReason::Full;
  message.load = { 5, 3, 41, 55ms, true };
  message.load.slowStartBudget = 9;
  message.load.isEjected = true;
  message.load.history = 12'345ms;
  message.sendTime = Steering::SendTime(7);
  const auto parsed = roundTrip(message);
  CHECK(parsed.kind == Steering::MessageKind::Reject);
  CHECK(parsed.reason == Steering::RejectReason::Full);
  CHECK(parsed.load.inProgress == 5);
  CHECK(parsed.sendTime == Steering::SendTime(7));
  CHECK(parsed.load.lateRequests == 3);
  CHECK(parsed.load.longLivedFlows == 41);
  CHECK(parsed.load.serviceTime == 55ms);
  CHECK(parsed.load.slowStartBudget == 9);
  CHECK(parsed.load.history == 12'345ms);
  CHECK(parsed.load.isUnavailable);
  CHECK(parsed.load.isEjected);
  CHECK_FALSE(parsed.load.hasFullHistory);
  CHECK_FALSE(parsed.isIdempotent);
}

TEST_CASE("agent message: parsing fails for invalid headers")
{
  Steering::AgentMessage message;
  message.kind = Steering::MessageKind::LoadReport;
  std::vector<std::uint8_t> bytes;
  message.appendTo(bytes);
  SUBCASE("too short")
  {
    bytes.pop_back();
  }
  SUBCASE("wrong magic number")
  {
    bytes[0] = 0;
  }
  SUBCASE("unknown kind")
  {
    bytes[1] = 10;
  }
  SUBCASE("unknown reason")
  {
    bytes[3] = 10;
  }
  SUBCASE("slow-start extension missing")
  {
    bytes[2] |= 0x80;
  }
  CHECK_FALSE(Steering::AgentMessage::parse(bytes).ok());
}

TEST_CASE("owner notice: fields survive a round trip, a wrong size is invalid")
{
  const Steering::OwnerNotice notice{
    { { 0x64400007, 40'001 }, { 0xC6120001, 443 } }, 17
  };
  std::vector<std::uint8_t> bytes;
  notice.appendTo(bytes);
  const auto parsed = Steering::OwnerNotice::parse(bytes);
  REQUIRE(parsed.ok());
  CHECK(parsed->flow == notice.flow);
  CHECK(parsed->sequence == 17);
  bytes.push_back(0);
  CHECK_FALSE(Steering::OwnerNotice::parse(bytes).ok());
}
