#include "steering/agentloadtable.h"
#include "steering/replyprogress.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using Steering::AgentLoadTable;

constexpr Core::Endpoint kAgent{ 0x0A000001, 8172 };
constexpr Core::TimePoint kStart{ 100s };

struct Fixture
{
  Fixture() { replies.recordMessage(kStart); }

  /** The replies to a message and to the probe after it are overdue. */
  void suspectAgent()
  {
    loads.expectReply(kAgent, kStart);
    recordOtherReply(kStart + 100ms);
    CHECK_FALSE(loads.isSuspected(kAgent, kStart + 100ms));
    REQUIRE(loads.takeDueProbes(kStart + 100ms).size() == 1);
    recordOtherReply(kStart + 200ms);
    REQUIRE(loads.isSuspected(kAgent, kStart + 200ms));
  }

  /** Another agent replies to a message that was sent at aSentAt. */
  void recordOtherReply(Core::TimePoint aSentAt)
  {
    replies.recordReply(Steering::toSendTime(aSentAt), aSentAt + 1ms);
  }

  Steering::ReplyProgress replies;
  AgentLoadTable loads{ replies };
};

} // namespace

TEST_CASE("an agent with an overdue reply is not used until it replies")
{
  Fixture f;
  f.loads.expectReply(kAgent, kStart);
  f.recordOtherReply(kStart + 100ms);
  CHECK(f.loads.isUsable(kAgent, kStart + 99ms));
  CHECK_FALSE(f.loads.isUsable(kAgent, kStart + 100ms));
  CHECK(f.loads.overdueCount() == 1);
  f.loads.recordReport(kAgent, {}, kStart + 110ms);
  CHECK(f.loads.isUsable(kAgent, kStart + 1s));
  CHECK(f.loads.overdueCount() == 0);
}

TEST_CASE("an agent that does not reply to the probe either is suspected")
{
  Fixture f;
  f.loads.expectReply(kAgent, kStart);
  f.recordOtherReply(kStart + 100ms);
  CHECK_FALSE(f.loads.isSuspected(kAgent, kStart + 100ms));
  CHECK(f.loads.takeDueProbes(kStart + 100ms).size() == 1);
  f.recordOtherReply(kStart + 199ms);
  CHECK_FALSE(f.loads.isSuspected(kAgent, kStart + 1s));
  f.recordOtherReply(kStart + 200ms);
  CHECK(f.loads.isSuspected(kAgent, kStart + 1s));
  CHECK(f.loads.suspectedCount() == 1);
  f.loads.recordReport(kAgent, {}, kStart + 1s);
  CHECK_FALSE(f.loads.isSuspected(kAgent, kStart + 2s));
  CHECK(f.loads.suspectedCount() == 0);
}

TEST_CASE("no reply is overdue while the replies of all agents are late")
{
  Fixture f;
  f.loads.expectReply(kAgent, kStart);
  CHECK(f.loads.isUsable(kAgent, kStart + 2s));
  CHECK(f.replies.evidenceMissingSince() == kStart + 2s);
  f.recordOtherReply(kStart + 99ms);
  CHECK(f.loads.isUsable(kAgent, kStart + 3s));
  f.recordOtherReply(kStart + 100ms);
  CHECK_FALSE(f.replies.isEvidenceMissing());
  CHECK_FALSE(f.loads.isUsable(kAgent, kStart + 3s));
}

TEST_CASE("an agent with an overdue reply is probed at intervals")
{
  Fixture f;
  f.suspectAgent();
  CHECK(f.loads.takeDueProbes(kStart + 349ms).empty());
  CHECK(f.loads.takeDueProbes(kStart + 350ms).size() == 1);
  CHECK(f.loads.takeDueProbes(kStart + 500ms).empty());
  CHECK(f.loads.takeDueProbes(kStart + 600ms).size() == 1);
}

TEST_CASE("new flows are counted until the next load report")
{
  Fixture f;
  auto& loads = f.loads;
  loads.recordNewFlow(kAgent, false);
  loads.recordNewFlow(kAgent, true);
  CHECK(loads.find(kAgent).inProgress() == 2);
  CHECK(loads.find(kAgent).longLivedFlows() == 1);
  loads.recordReport(kAgent, { 3, 0, 9, 0ms, false }, kStart);
  CHECK(loads.find(kAgent).inProgress() == 3);
  CHECK(loads.find(kAgent).longLivedFlows() == 9);
}

TEST_CASE("a target that reports itself as unavailable is not used for a while")
{
  Fixture f;
  auto& loads = f.loads;
  loads.recordReport(kAgent, { 0, 0, 0, 0ms, true }, kStart);
  CHECK_FALSE(loads.isUsable(kAgent, kStart + 100ms));
  CHECK(loads.isUsable(kAgent, kStart + 250ms));
}

TEST_CASE("agents that are not retained are removed")
{
  Fixture f;
  auto& loads = f.loads;
  f.suspectAgent();
  loads.retainIf([](const auto&) { return false; });
  CHECK(loads.overdueCount() == 0);
  CHECK(loads.suspectedCount() == 0);
  CHECK_FALSE(loads.isSuspected(kAgent, kStart + 1s));
}
