#include "steering/agentmessage.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;

Steering::AgentMessage
roundTrip(const Steering::AgentMessage& aMessage)
{
  std::vector<std::uint8_t> bytes;
  aMessage.appendTo(bytes);
  CHECK(bytes.size() == Steering::AgentMessage::kBytes);
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
}

TEST_CASE("agent message: fields sent by an agent survive a round trip")
{
  Steering::AgentMessage message;
  message.kind = Steering::MessageKind::Reject;
  message.reason = Steering::RejectReason::Full;
  message.load = { 5, 3, 41, 55ms, true };
  message.sendTime = Steering::SendTime(7);
  const auto parsed = roundTrip(message);
  CHECK(parsed.kind == Steering::MessageKind::Reject);
  CHECK(parsed.reason == Steering::RejectReason::Full);
  CHECK(parsed.load.inProgress == 5);
  CHECK(parsed.sendTime == Steering::SendTime(7));
  CHECK(parsed.load.lateRequests == 3);
  CHECK(parsed.load.longLivedFlows == 41);
  CHECK(parsed.load.serviceTime == 55ms);
  CHECK(parsed.load.isUnavailable);
}

TEST_CASE("agent message: parsing fails for invalid headers")
{
  Steering::AgentMessage message;
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
    bytes[3] = 9;
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
