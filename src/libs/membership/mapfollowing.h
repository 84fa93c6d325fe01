#pragma once

#include "membership/membertable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Membership {

/** What a process does next to keep its fleet map up to date. */
enum class MapStep : std::uint8_t
{
  /** Calls the platform's store. */
  CallStore,
  /** Requests the newer map of a peer. */
  FetchFromPeer,
  /** Waits for messages of peers. */
  Wait,
};

struct NextMapStep
{
  MapStep step = MapStep::Wait;
  /** FetchFromPeer: the peer. */
  Address peer = 0;
  /** Wait: for how long at most. */
  std::chrono::milliseconds maxWait{ 0 };
};

struct OutgoingMessage
{
  Address to = 0;
  MemberMessage message;
};

/**
 * Decides which processes call the platform's store, since calls are limited
 * and charged, and from whom the others get the map. A few readers in each zone
 * call the store. Every process sends its revision, and how recently the store
 * confirmed it, to the processes that follow it. A process that is not
 * confirmed in time calls the store itself, so that a wrong view of the others
 * costs calls, but never an outdated map. Not thread-safe.
 */
class MapFollowing
{
public:
  static constexpr std::chrono::milliseconds kInterval{ 400 };
  /**
   * How long a call waits at the store for the next change. Only an answer
   * confirms the map: a call may never be answered although its connection
   * stays open, and then ends soon after this time.
   */
  static constexpr std::chrono::milliseconds kStoreWaitTime{ 1'000 };
  /**
   * A follower without a confirmation for this time calls the store, the later
   * the higher its rank: the first ones may confirm the others. Two messages
   * in succession may be lost after an answer of the store.
   */
  static constexpr std::chrono::milliseconds kConfirmationTimeout =
    kStoreWaitTime + 3 * kInterval;
  static constexpr std::chrono::milliseconds kDelayPerRank{ 100 };
  static constexpr std::size_t kMaxDelayedRanks = 12;
  /**
   * A follower whose call was answered goes on calling the store for this time,
   * so that the others are confirmed while the readers cannot reach it.
   */
  static constexpr std::chrono::milliseconds kSubstituteTime{ 10'000 };
  /** A reader prefers the store's answer to a peer's map for this time. */
  static constexpr std::chrono::milliseconds kReaderFetchDelay{ 300 };
  /** Interval of a reader's calls that fail while peers confirm its map. */
  static constexpr std::chrono::milliseconds kConfirmedRetryInterval{ 2'000 };
  static constexpr std::chrono::milliseconds kMaxWait{ 1'000 };
  /** A map without a confirmation for this time counts as outdated. */
  static constexpr std::chrono::milliseconds kCurrentTimeout{ 3'000 };
  /** A process that started learns of the others before it may be a reader. */
  static constexpr std::chrono::milliseconds kJoinTime{ 1'000 };
  /** A process that did not run for this time has to call the store again. */
  static constexpr std::chrono::milliseconds kSleepLimit{ 1'200 };

  MapFollowing(MemberTable aMembers, Core::TimePoint aNow);

  MemberTable& members() { return mMembers; }
  const MemberTable& members() const { return mMembers; }

  /** Returns the messages to send at once. */
  std::vector<OutgoingMessage> handleMessage(Address aFrom,
                                             const MemberMessage& aMessage,
                                             Core::TimePoint aNow);
  /** Called at each kInterval; returns the messages to send. */
  std::vector<OutgoingMessage> tick(Core::TimePoint aNow);
  /** The process stops; returns the messages that tell the others. */
  std::vector<OutgoingMessage> leave(Core::TimePoint aNow);

  /** The process has a new map; returns the messages to send at once. */
  std::vector<OutgoingMessage> setRevision(
    const Steering::MapRevision& aRevision,
    Core::TimePoint aNow);
  /** A call of the store begins, which may wait for the next change. */
  void beginStoreCall(Core::TimePoint aNow);
  /** Returns the messages to send at once. */
  std::vector<OutgoingMessage> endStoreCall(bool aIsAnswered,
                                            Core::TimePoint aNow);
  /** The call was given up, which says nothing about the store. */
  void cancelStoreCall();
  /** Messages that arrive from now on may announce a newer map. */
  void beginFetch() { mNotice.reset(); }
  void endFetch(Address aPeer, bool aIsAnswered);

  NextMapStep nextStep(Core::TimePoint aNow) const;
  /** Whether a call that waits for the store should be given up. */
  bool shouldEndStoreCall(Core::TimePoint aNow) const;
  /** Whether the next call of the store should be answered without a wait. */
  bool needsStoreAnswer(Core::TimePoint aNow) const
  {
    return mHasSlept || !isConfirmed(aNow);
  }
  /** When the store was last known to have no newer map. */
  Core::TimePoint confirmedAt(Core::TimePoint aNow) const
  {
    return aNow - confirmedAge(aNow);
  }
  /** Whether the store was known to have no newer map a short time ago. */
  bool isCurrent(Core::TimePoint aNow) const;
  /** For how long the current call of the store has waited; 0 if none does. */
  std::chrono::milliseconds storeCallAge(Core::TimePoint aNow) const;

private:
  struct Notice
  {
    Steering::MapRevision revision;
    Address peer = 0;
    Core::TimePoint at{};
  };

  void detectSleep(Core::TimePoint aNow);
  Core::TimePoint arrivalTime(Core::TimePoint aNow) const;
  bool isCallingStore() const { return mStoreCallStartedAt.has_value(); }
  MemberMessage createMessage(Core::TimePoint aNow) const;
  std::vector<OutgoingMessage> createMessages(
    const std::vector<Address>& aRecipients,
    Core::TimePoint aNow);
  std::vector<OutgoingMessage> announce(Core::TimePoint aNow);
  std::chrono::milliseconds confirmedAge(Core::TimePoint aNow) const;
  bool isConfirmed(Core::TimePoint aNow) const;
  bool isFetchDue(Core::TimePoint aNow) const;
  bool isStoreCallDue(Core::TimePoint aNow) const;
  /** Whether this process is a follower that was not confirmed in time. */
  bool isUnconfirmedFollower(Core::TimePoint aNow) const;
  std::chrono::milliseconds patience() const;

  MemberTable mMembers;
  Steering::MapRevision mRevision;
  Core::TimePoint mConfirmedAt;
  Core::TimePoint mStartedAt;
  /** Null unless a call waits for the store. */
  std::optional<Core::TimePoint> mStoreCallStartedAt;
  /** The process slept during the call, so that its connection may be dead. */
  bool mIsCallStale = false;
  /** The current call was made because nobody confirmed the map. */
  bool mIsSubstituting = false;
  /** Until then this process calls the store like a reader. */
  Core::TimePoint mSubstituteUntil{};
  /** Null unless the last call failed. */
  Core::TimePoint mStoreFailedAt{};
  /** A newer map that a peer has. */
  std::optional<Notice> mNotice;
  Core::TimePoint mLastTickAt;
  /** Set after a sleep, until the store has answered: what arrived meanwhile
   * is of unknown age. */
  bool mHasSlept = false;
};

} // namespace Membership
