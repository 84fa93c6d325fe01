#include "membership/mapfollowing.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using Membership::Address;
using Membership::MapFollowing;
using Membership::MapStep;
using Membership::MemberMessage;
using Membership::MemberTable;

constexpr std::uint32_t kZone = 1;
constexpr Steering::MapRevision kRevision{ 1, 7 };

/** The one of two addresses that is ranked first. */
Address
firstRanked(Address aLeft, Address aRight)
{
  MemberTable table(aLeft, kZone, 1);
  MemberMessage message;
  message.zoneTag = kZone;
  table.recordMessage(aRight, message, Core::TimePoint(1'000s));
  return table.rank() == 0 ? aLeft : aRight;
}

/** A process of a zone whose readers are other processes. */
class Fixture
{
public:
  Fixture()
    : following(MemberTable(follower(), kZone, 1), now)
  {
    following.tick(now);
    following.setRevision(kRevision, now);
    following.endStoreCall(true, now);
    for (int i = 0; i < 10; ++i) {
      hearReaders();
      advance(MapFollowing::kInterval);
    }
  }

  void advance(std::chrono::milliseconds aDuration)
  {
    now += aDuration;
    following.tick(now);
  }

  /** The readers' call waits for the store, which has nothing newer. */
  void hearReaders(const Steering::MapRevision& aRevision = kRevision)
  {
    MemberMessage message;
    message.zoneTag = kZone;
    message.revision = aRevision;
    message.confirmedAge = 0ms;
    for (Address address = 1; address <= kMemberCount; ++address) {
      if (address != follower()) {
        following.handleMessage(address, message, now);
      }
    }
  }

  Core::TimePoint now{ 1'000s };
  MapFollowing following;

private:
  static constexpr Address kMemberCount = 5;

  /** The member that is ranked last. */
  static Address follower()
  {
    Address last = 1;
    for (Address address = 2; address <= kMemberCount; ++address) {
      last = firstRanked(last, address) == last ? address : last;
    }
    return last;
  }
};

} // namespace

TEST_CASE("what waited unread while the process was late does not confirm its "
          "map as if it had just been sent")
{
  Fixture f;
  REQUIRE_FALSE(f.following.members().isReader());
  REQUIRE(f.following.nextStep(f.now).step == MapStep::Wait);
  f.hearReaders();
  // The readers' last messages arrive soon after, and wait for the process.
  constexpr auto kLate = 1'150ms;
  f.now += kLate;
  f.hearReaders();
  f.advance(0ms);
  CHECK_FALSE(f.following.needsStoreAnswer(f.now));
  const auto sentAt = f.now - kLate + MapFollowing::kInterval;
  const auto patience =
    MapFollowing::kConfirmationTimeout + 4 * MapFollowing::kDelayPerRank;
  CHECK(f.following.nextStep(sentAt + patience).step == MapStep::CallStore);
  CHECK_FALSE(f.following.isCurrent(sentAt + MapFollowing::kCurrentTimeout));
}

TEST_CASE("what is read in time confirms the map from when it was sent")
{
  Fixture f;
  f.now += MapFollowing::kInterval;
  f.hearReaders();
  const auto patience =
    MapFollowing::kConfirmationTimeout + 4 * MapFollowing::kDelayPerRank;
  CHECK(f.following.nextStep(f.now + patience - 1ms).step == MapStep::Wait);
  CHECK(f.following.nextStep(f.now + patience).step == MapStep::CallStore);
}

TEST_CASE("a call of the store that waits without an answer does not confirm "
          "the map")
{
  auto now = Core::TimePoint(1'000s);
  MapFollowing following(MemberTable(1, kZone, 1), now);
  following.tick(now);
  following.setRevision(kRevision, now);
  following.beginStoreCall(now);
  following.endStoreCall(true, now);
  CHECK(following.isCurrent(now));
  CHECK(following.storeCallAge(now) == 0ms);
  following.beginStoreCall(now);
  const auto end = now + MapFollowing::kCurrentTimeout;
  while (now < end) {
    now += MapFollowing::kInterval;
    following.tick(now);
  }
  CHECK(following.storeCallAge(now) >= MapFollowing::kCurrentTimeout);
  CHECK_FALSE(following.isCurrent(now));
  CHECK(following.confirmedAt(now) <= end - MapFollowing::kCurrentTimeout);
}

TEST_CASE("a change that is announced during a fetch is fetched next")
{
  Fixture f;
  f.hearReaders({ 1, 8 });
  REQUIRE(f.following.nextStep(f.now).step == MapStep::FetchFromPeer);
  const auto peer = f.following.nextStep(f.now).peer;
  f.following.beginFetch();
  f.now += 5ms;
  f.following.setRevision({ 1, 8 }, f.now);
  SUBCASE("and the fetch was answered before")
  {
    f.hearReaders({ 1, 9 });
    f.following.endFetch(peer, true);
    CHECK(f.following.nextStep(f.now).step == MapStep::FetchFromPeer);
  }
  SUBCASE("unless the fetch had no answer")
  {
    f.hearReaders({ 1, 9 });
    f.following.endFetch(peer, false);
    CHECK(f.following.nextStep(f.now).step == MapStep::Wait);
  }
  SUBCASE("and nothing is fetched if there was none")
  {
    f.following.endFetch(peer, true);
    CHECK(f.following.nextStep(f.now).step == MapStep::Wait);
  }
}
