#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "messages/peermessages.pb.h"
#include "ownership/bytebudget.h"
#include "ownership/claimtable.h"
#include "ownership/exchangetable.h"
#include "ownership/loadboard.h"
#include "ownership/proposal.h"
#include "ownership/targetchoice.h"
#include "ownership/targetusage.h"

#include <vector>

using namespace Ownership;

namespace {

constexpr Core::TimePoint kStart{ std::chrono::hours(1) };
const Packet::FlowKey kFlow{ { 1, 2 }, { 3, 4 }, Packet::Protocol::Udp };

Messages::LoadReport
report(std::uint64_t aIncarnation,
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
candidate(Config::Identity aTarget, const char* aZone, std::uint32_t aInUse)
{
  return { aTarget, aZone, { aInUse, 4, aInUse, 100 } };
}

} // namespace

TEST_CASE("any two quorums of a view share an agent")
{
  for (unsigned peers = 0; peers <= 5; ++peers) {
    Quorum quorum{ 1, {} };
    for (unsigned i = 0; i < peers; ++i) {
      quorum.peers.push_back(2 + i);
    }
    const unsigned agents = peers + 1;
    std::vector<unsigned> reached;
    for (unsigned set = 0; set < (1U << agents); ++set) {
      absl::flat_hash_set<Config::Identity> granted;
      for (unsigned i = 0; i < agents; ++i) {
        if ((set >> i & 1U) != 0) {
          granted.insert(1 + i);
        }
      }
      if (quorum.isReached(granted)) {
        reached.push_back(set);
      }
    }
    CHECK(!reached.empty());
    for (const auto one : reached) {
      for (const auto other : reached) {
        CHECK((one & other) != 0);
      }
    }
  }
}

TEST_CASE("the first claim stands until its claimer changes it")
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

TEST_CASE("a late or repeated load report changes nothing")
{
  LoadBoard board;
  board.update(report(5, 2, 3), kStart);
  board.update(report(5, 1, 0), kStart);
  CHECK(board.find(1)->load.slotsInUse == 3);
  board.update(report(4, 9, 0), kStart);
  CHECK(board.find(1)->load.slotsInUse == 3);
  // A machine that took its place may have a clock that is behind.
  const auto later = kStart + std::chrono::seconds(2);
  CHECK_FALSE(board.isAlive(1, later));
  board.update(report(4, 1, 1), later);
  CHECK(board.find(1)->load.slotsInUse == 1);
  CHECK(board.isAlive(1, later));
}

TEST_CASE("assignments count until a report shows them, or they are lost")
{
  LoadBoard board;
  board.update(report(1, 1, 0), kStart);
  board.recordAssignment(1, kStart);
  board.recordAssignment(1, kStart);
  CHECK(board.estimate(*board.find(1), kStart).slotsInUse == 2);
  auto seen = report(1, 2, 2);
  seen.set_assignments_seen(2);
  board.update(seen, kStart);
  CHECK(board.estimate(*board.find(1), kStart).slotsInUse == 2);
  board.recordAssignment(1, kStart);
  const auto later = kStart + std::chrono::milliseconds(301);
  CHECK(board.estimate(*board.find(1), later).slotsInUse == 2);
}

TEST_CASE("the least loaded target with room is chosen")
{
  ChoiceRequest request;
  request.zone = "a";
  const std::vector<Candidate> list{ candidate(1, "a", 3),
                                     candidate(2, "b", 1),
                                     candidate(3, "a", 4) };
  CHECK(chooseTarget(list, request) == 2);
  request.preference = Config::ZonePreference::OwnFirst;
  CHECK(chooseTarget(list, request) == 1);
  const std::vector<Candidate> full{ candidate(1, "a", 4) };
  CHECK(chooseTarget(full, request) == 0);
}

TEST_CASE("an equal load is settled by the zone")
{
  ChoiceRequest request;
  request.zone = "b";
  const std::vector<Candidate> list{ candidate(1, "a", 1),
                                     candidate(2, "b", 1) };
  for (std::uint64_t hash = 0; hash < 50; ++hash) {
    request.flowHash = hash;
    CHECK(chooseTarget(list, request) == 2);
  }
}

TEST_CASE("slots grow within the slow start, and a member keeps to its share")
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
  const auto warm = kStart + std::chrono::seconds(10);
  CHECK(usage.load(warm).slots == 4);
  const auto index = usage.memberIndex(0x0a010203);
  CHECK(usage.memberIndex(0x0b010203) == 0);
  const auto slot = Config::Occupies::Slot;
  usage.acquire(slot, index);
  CHECK(usage.checkCapacity(slot, index, warm) == CapacityCheck::Available);
  usage.acquire(slot, index);
  CHECK(usage.checkCapacity(slot, index, warm) == CapacityCheck::MemberLimit);
  CHECK(usage.checkCapacity(slot, 0, warm) == CapacityCheck::Available);
  usage.release(slot, index);
  CHECK(usage.checkCapacity(slot, index, warm) == CapacityCheck::Available);
}

TEST_CASE("a datagram is new once, and only a single request is answered again")
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

TEST_CASE("a byte budget holds a second's worth and refills")
{
  TokenBucket budget(1'000);
  CHECK(budget.isAvailable(1'000, kStart));
  budget.consume(1'000, kStart);
  CHECK_FALSE(budget.isAvailable(1, kStart));
  CHECK(budget.isAvailable(500, kStart + std::chrono::milliseconds(500)));
  CHECK_FALSE(budget.isAvailable(1'001, kStart + std::chrono::hours(1)));
}

TEST_CASE("peers are not taken for dead after an own sleep")
{
  LoadBoard board;
  board.update(report(1, 1, 0), kStart);
  const auto later = kStart + std::chrono::seconds(3);
  CHECK_FALSE(board.isAlive(1, later));
  board.noteSleep(std::chrono::seconds(3));
  CHECK(board.isAlive(1, later));
  CHECK_FALSE(board.isAlive(1, later + std::chrono::seconds(2)));
}
