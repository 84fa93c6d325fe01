#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "messages/peermessages.pb.h"
#include "ownership/claimtable.h"
#include "ownership/exchangetable.h"
#include "ownership/peerloadtable.h"
#include "ownership/proposal.h"
#include "ownership/targetchoice.h"
#include "ownership/targetusage.h"
#include "ownership/tokenbucket.h"

#include <vector>

using namespace Ownership;

namespace {

constexpr Core::TimePoint kStart{ std::chrono::hours(1) };
const Packet::FlowKey kFlow{ { 1, 2 }, { 3, 4 }, Packet::Protocol::Udp };

Messages::LoadReport
makeReport(std::uint64_t aIncarnation,
           std::uint64_t aSequence,
           std::uint32_t aSlotsInUse)
{
  Messages::LoadReport message;
  message.set_target(1);
  message.set_incarnation(aIncarnation);
  message.set_sequence(aSequence);
  message.set_slots_in_use(aSlotsInUse);
  message.set_slots(4);
  return message;
}

Candidate
makeCandidate(Config::Identity aTarget, const char* aZone, std::uint32_t aInUse)
{
  return { aTarget, aZone, { aInUse, 4, aInUse, 100 } };
}

} // namespace

TEST_CASE("any two quorums of a view share an agent")
{
  for (unsigned peerCount = 0; peerCount <= 5; ++peerCount) {
    Quorum quorum{ 1, {} };
    for (unsigned i = 0; i < peerCount; ++i) {
      quorum.peers.push_back(2 + i);
    }
    const unsigned agentCount = peerCount + 1;
    std::vector<unsigned> reached;
    for (unsigned subset = 0; subset < (1U << agentCount); ++subset) {
      absl::flat_hash_set<Config::Identity> grantedBy;
      for (unsigned i = 0; i < agentCount; ++i) {
        if ((subset >> i & 1U) != 0) {
          grantedBy.insert(1 + i);
        }
      }
      if (quorum.isReached(grantedBy)) {
        reached.push_back(subset);
      }
    }
    CHECK(!reached.empty());
    for (const auto first : reached) {
      for (const auto second : reached) {
        CHECK((first & second) != 0);
      }
    }
  }
}

TEST_CASE("only its claimer can change a claim, and claims expire")
{
  ClaimTable claims;
  CHECK(claims.record(kFlow, 10, 1, kStart).owner == 1);
  CHECK(claims.record(kFlow, 20, 2, kStart).claimer == 10);
  CHECK(claims.record(kFlow, 10, 3, kStart).owner == 3);
  claims.clearOwner(kFlow, 20);
  CHECK(claims.find(kFlow)->owner == 3);
  claims.eraseRecordedBefore(kStart);
  CHECK(claims.find(kFlow) != nullptr);
  claims.eraseRecordedBefore(kStart + std::chrono::seconds(1));
  CHECK(claims.find(kFlow) == nullptr);
}

TEST_CASE("older load reports are ignored, unless the peer was unresponsive")
{
  PeerLoadTable peerLoads;
  peerLoads.update(makeReport(5, 2, 3), kStart);
  peerLoads.update(makeReport(5, 1, 0), kStart);
  CHECK(peerLoads.find(1)->load.slotsInUse == 3);
  peerLoads.update(makeReport(4, 9, 0), kStart);
  CHECK(peerLoads.find(1)->load.slotsInUse == 3);
  // The clock of a replacement machine may be behind.
  const auto later = kStart + std::chrono::seconds(2);
  CHECK_FALSE(peerLoads.isResponsive(1, later));
  peerLoads.update(makeReport(4, 1, 1), later);
  CHECK(peerLoads.find(1)->load.slotsInUse == 1);
  CHECK(peerLoads.isResponsive(1, later));
}

TEST_CASE("assignments count until a report includes them or they time out")
{
  PeerLoadTable peerLoads;
  peerLoads.update(makeReport(1, 1, 0), kStart);
  peerLoads.recordAssignment(1, kStart);
  peerLoads.recordAssignment(1, kStart);
  CHECK(peerLoads.estimate(*peerLoads.find(1), kStart).slotsInUse == 2);
  auto newReport = makeReport(1, 2, 2);
  newReport.set_assignments_seen(2);
  peerLoads.update(newReport, kStart);
  CHECK(peerLoads.estimate(*peerLoads.find(1), kStart).slotsInUse == 2);
  peerLoads.recordAssignment(1, kStart);
  const auto later = kStart + std::chrono::milliseconds(301);
  CHECK(peerLoads.estimate(*peerLoads.find(1), later).slotsInUse == 2);
}

TEST_CASE("the least loaded target with capacity is chosen")
{
  ChoiceRequest request;
  request.zone = "a";
  const std::vector<Candidate> candidates{ makeCandidate(1, "a", 3),
                                           makeCandidate(2, "b", 1),
                                           makeCandidate(3, "a", 4) };
  CHECK(chooseTarget(candidates, request) == 2);
  request.preference = Config::ZonePreference::OwnFirst;
  CHECK(chooseTarget(candidates, request) == 1);
  const std::vector<Candidate> fullCandidates{ makeCandidate(1, "a", 4) };
  CHECK(chooseTarget(fullCandidates, request) == 0);
}

TEST_CASE("the zone breaks ties between equally loaded targets")
{
  ChoiceRequest request;
  request.zone = "b";
  const std::vector<Candidate> candidates{ makeCandidate(1, "a", 1),
                                           makeCandidate(2, "b", 1) };
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    request.flowHash = hash;
    CHECK(chooseTarget(candidates, request) == 2);
  }
}

TEST_CASE(
  "slots grow during the slow start, and a member is limited to its share")
{
  Config::Document document;
  document.slowStart = std::chrono::seconds(10);
  Config::Member member;
  member.name = "guild";
  member.address = 0x0a010000;
  member.prefixLength = 16;
  member.slotShare = 50;
  document.members.push_back(member);
  Config::Target target;
  target.slots = 4;
  target.connections = 100;
  TargetUsage usage;
  usage.setStartedAt(kStart);
  usage.setLimits(document, target);
  CHECK(usage.load(kStart).slots == 1);
  CHECK(usage.load(kStart + std::chrono::seconds(5)).slots == 2);
  const auto slowStartEnd = kStart + std::chrono::seconds(10);
  CHECK(usage.load(slowStartEnd).slots == 4);
  const auto index = usage.memberIndex(0x0a010203);
  CHECK(usage.memberIndex(0x0b010203) == 0);
  const auto slot = Config::Resource::Slot;
  usage.acquire(slot, index);
  CHECK(usage.checkCapacity(slot, index, slowStartEnd) ==
        CapacityCheck::Available);
  usage.acquire(slot, index);
  CHECK(usage.checkCapacity(slot, index, slowStartEnd) ==
        CapacityCheck::MemberLimit);
  CHECK(usage.checkCapacity(slot, 0, slowStartEnd) == CapacityCheck::Available);
  usage.release(slot, index);
  CHECK(usage.checkCapacity(slot, index, slowStartEnd) ==
        CapacityCheck::Available);
}

TEST_CASE(
  "duplicate requests are detected, and only a single request has an answer")
{
  ExchangeTable exchanges;
  const std::vector<std::uint8_t> one{ 1 };
  const std::vector<std::uint8_t> two{ 2 };
  CHECK(exchanges.recordRequest(kFlow, one));
  CHECK_FALSE(exchanges.recordRequest(kFlow, one));
  CHECK(exchanges.answer(kFlow).empty());
  exchanges.recordAnswer(kFlow, two);
  CHECK(exchanges.answer(kFlow) == two);
  CHECK(exchanges.recordRequest(kFlow, two));
  CHECK(exchanges.answer(kFlow).empty());
}

TEST_CASE("a token bucket has at most the bytes of one second and refills")
{
  TokenBucket bucket(1'000);
  CHECK(bucket.isAvailable(1'000, kStart));
  bucket.consume(1'000, kStart);
  CHECK_FALSE(bucket.isAvailable(1, kStart));
  CHECK(bucket.isAvailable(500, kStart + std::chrono::milliseconds(500)));
  CHECK_FALSE(bucket.isAvailable(1'001, kStart + std::chrono::hours(1)));
}

TEST_CASE("peers count as responsive after this process was suspended")
{
  PeerLoadTable peerLoads;
  peerLoads.update(makeReport(1, 1, 0), kStart);
  const auto later = kStart + std::chrono::seconds(3);
  CHECK_FALSE(peerLoads.isResponsive(1, later));
  peerLoads.recordSuspension(std::chrono::seconds(3));
  CHECK(peerLoads.isResponsive(1, later));
  CHECK_FALSE(peerLoads.isResponsive(1, later + std::chrono::seconds(2)));
}
