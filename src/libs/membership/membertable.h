#pragma once

#include "membership/membermessage.h"

#include "core/clock.h"

#include <absl/strings/string_view.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace Membership {

/**
 * A 32-bit hash of the availability zone's name that is the same in every
 * process.
 */
std::uint32_t
zoneTag(absl::string_view aZone);

/**
 * The processes that exchange the fleet map, as far as this one knows them. It
 * learns of others from messages, first from those of the seeds, and forgets
 * those that nobody has heard from. Each zone is ordered by a rank that is the
 * same in every process. If the tables of processes differ for a while, there
 * are more or fewer readers of the platform's store. Not thread-safe.
 */
class MemberTable
{
public:
  /** A member that nobody has heard from for this time is not used. */
  static constexpr std::chrono::milliseconds kMemberTimeout{ 3'000 };
  /** A member that this process subscribed to and that is silent this long. */
  static constexpr std::chrono::milliseconds kSubscriptionTimeout{ 1'000 };
  /** Number of readers that a fleet has at least, if it has as many members. */
  static constexpr std::size_t kMinReaders = 3;
  /** Members that follow the same member. */
  static constexpr std::size_t kFanOut = 16;

  MemberTable(Address aSelf, std::uint32_t aZoneTag, std::uint64_t aSeed);

  void setSeeds(std::vector<Address> aSeeds) { mSeeds = std::move(aSeeds); }
  /** Returns whether the sender is new or has subscribed just now. */
  bool recordMessage(Address aFrom,
                     const MemberMessage& aMessage,
                     Core::TimePoint aNow);
  /** Forgets silent members. Called at each interval before sending. */
  void tick(Core::TimePoint aNow);
  /** The member does not reply; not used until it sends a message. */
  void suspect(Address aMember);
  /** This process stops: others should not follow it. */
  void setLeaving();
  bool isLeaving() const { return mIsLeaving; }
  /** Whether this process is one of the few of its zone that read the store. */
  bool isReader() const;
  /** Position of this process in the order of its zone. */
  std::size_t rank() const;
  /**
   * The members whose messages this process needs: the one that it follows, or,
   * if it is a reader, the other readers.
   */
  std::vector<Address> subscriptions() const;
  /** The members that need messages of this process. */
  std::vector<Address> subscribers() const;
  /** A live member, to spread the table; the seeds if there is none. */
  std::vector<Address> randomMembers();
  /** Live members of the local zone, then others; at most aCount. */
  std::vector<Address> nearestMembers(std::size_t aCount) const;
  bool isLocal(Address aMember) const;
  /**
   * A random choice of members for a message, most of them from the recipient's
   * zone.
   */
  std::vector<MemberEntry> entriesFor(Address aRecipient, Core::TimePoint aNow);
  std::size_t size() const { return mMembers.size(); }
  std::uint32_t localZoneTag() const { return mZoneTag; }

private:
  struct Member
  {
    std::uint32_t zoneTag = 0;
    /** When it was last known to run, from any source. */
    Core::TimePoint knownAt{};
    /** When it last sent a message to this process. */
    Core::TimePoint heardAt{};
    Core::TimePoint subscribedAt{};
    /** When this process began to depend on its messages. */
    Core::TimePoint neededSince{};
    bool isSuspected = false;
    bool isLeaving = false;
  };

  /** Live members of a zone and this process if it belongs there, by rank. */
  const std::vector<Address>& ranked(std::uint32_t aZoneTag) const;
  void sortMembers() const;
  void addEntries(std::vector<MemberEntry>& aEntries,
                  const std::vector<Address>& aMembers,
                  std::size_t aCount,
                  Core::TimePoint aNow);
  std::size_t readersPerZone() const;
  std::vector<Address> otherReaders() const;
  /** The member that this process follows; empty if there is none. */
  std::vector<Address> followed() const;
  void suspectSilentSubscriptions(Core::TimePoint aNow);

  Address mSelf;
  std::uint32_t mZoneTag;
  std::mt19937_64 mRandom;
  std::vector<Address> mSeeds;
  std::map<Address, Member> mMembers;
  /** The members in use of each zone by rank; empty if it has to be sorted. */
  mutable std::map<std::uint32_t, std::vector<Address>> mRanked;
  Core::TimePoint mNow{};
  std::uint64_t mTickCount = 0;
  bool mIsLeaving = false;
};

} // namespace Membership
