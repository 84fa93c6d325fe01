#include "membership/mapfollowing.h"

#include <algorithm>
#include <utility>

namespace Membership {

MapFollowing::MapFollowing(MemberTable aMembers, Core::TimePoint aNow)
  : mMembers(std::move(aMembers))
  , mConfirmedAt(aNow - MemberMessage::kMaxAge)
  , mStartedAt(aNow)
  , mLastTickAt(aNow)
{
}

std::vector<OutgoingMessage>
MapFollowing::handleMessage(Address aFrom,
                            const MemberMessage& aMessage,
                            Core::TimePoint aNow)
{
  detectSleep(aNow);
  const bool isNewContact = mMembers.recordMessage(aFrom, aMessage, aNow);
  const bool wasConfirmed = isConfirmed(aNow);
  if (aMessage.revision > mRevision) {
    const bool isNewer = !mNotice || aMessage.revision > mNotice->revision;
    const bool isNearer = mNotice && aMessage.revision == mNotice->revision &&
                          mMembers.isLocal(aFrom) &&
                          !mMembers.isLocal(mNotice->peer);
    if (isNewer || isNearer) {
      const auto at = mNotice ? mNotice->at : aNow;
      mNotice = Notice{ aMessage.revision, aFrom, at };
    }
  } else if (!mHasSlept && aMessage.revision == mRevision &&
             aMessage.confirmedAge < MemberMessage::kMaxAge) {
    mConfirmedAt =
      std::max(mConfirmedAt, arrivalTime(aNow) - aMessage.confirmedAge);
  }
  if (!wasConfirmed && isConfirmed(aNow)) {
    return announce(aNow);
  }
  return isNewContact ? createMessages({ aFrom }, aNow)
                      : std::vector<OutgoingMessage>{};
}

std::vector<OutgoingMessage>
MapFollowing::tick(Core::TimePoint aNow)
{
  detectSleep(aNow);
  mLastTickAt = aNow;
  mMembers.tick(aNow);
  auto recipients = mMembers.subscriptions();
  for (const auto& others :
       { mMembers.subscribers(), mMembers.randomMembers() }) {
    recipients.insert(recipients.end(), others.begin(), others.end());
  }
  return createMessages(recipients, aNow);
}

std::vector<OutgoingMessage>
MapFollowing::leave(Core::TimePoint aNow)
{
  mMembers.setLeaving();
  return announce(aNow);
}

std::vector<OutgoingMessage>
MapFollowing::setRevision(const Steering::MapRevision& aRevision,
                          Core::TimePoint aNow)
{
  if (aRevision <= mRevision) {
    return {};
  }
  mRevision = aRevision;
  if (mNotice && mNotice->revision <= mRevision) {
    mNotice.reset();
  }
  return announce(aNow);
}

void
MapFollowing::beginStoreCall(Core::TimePoint aNow)
{
  mStoreCallStartedAt = aNow;
  mIsSubstituting = isUnconfirmedFollower(aNow);
  mIsCallStale = false;
}

std::vector<OutgoingMessage>
MapFollowing::endStoreCall(bool aIsAnswered, Core::TimePoint aNow)
{
  const bool wasConfirmed = isConfirmed(aNow);
  mStoreCallStartedAt.reset();
  mStoreFailedAt = aIsAnswered ? Core::TimePoint{} : aNow;
  if (!aIsAnswered) {
    return {};
  }
  mHasSlept = false;
  mConfirmedAt = aNow;
  if (mIsSubstituting) {
    mSubstituteUntil = aNow + kSubstituteTime;
  }
  return wasConfirmed ? std::vector<OutgoingMessage>{} : announce(aNow);
}

void
MapFollowing::cancelStoreCall()
{
  mStoreCallStartedAt.reset();
}

void
MapFollowing::endFetch(Address aPeer, bool aIsAnswered)
{
  if (aIsAnswered) {
    return;
  }
  mMembers.suspect(aPeer);
  if (mNotice && mNotice->peer == aPeer) {
    mNotice.reset();
  }
}

void
MapFollowing::detectSleep(Core::TimePoint aNow)
{
  if (aNow - mLastTickAt > kSleepLimit) {
    mIsCallStale = true;
    mHasSlept = true;
    mLastTickAt = aNow;
  }
}

/**
 * When a message that is read now may have arrived. If a tick is overdue, this
 * process was late, and the message may have waited for it since then.
 */
Core::TimePoint
MapFollowing::arrivalTime(Core::TimePoint aNow) const
{
  return std::min(aNow, mLastTickAt + kInterval);
}

NextMapStep
MapFollowing::nextStep(Core::TimePoint aNow) const
{
  if (isFetchDue(aNow)) {
    return { MapStep::FetchFromPeer, mNotice->peer, {} };
  }
  if (isStoreCallDue(aNow)) {
    return { MapStep::CallStore, 0, {} };
  }
  return { MapStep::Wait, 0, kMaxWait };
}

bool
MapFollowing::shouldEndStoreCall(Core::TimePoint aNow) const
{
  return mIsCallStale || isFetchDue(aNow);
}

bool
MapFollowing::isCurrent(Core::TimePoint aNow) const
{
  return confirmedAge(aNow) < kCurrentTimeout;
}

std::chrono::milliseconds
MapFollowing::storeCallAge(Core::TimePoint aNow) const
{
  return mStoreCallStartedAt
           ? std::chrono::duration_cast<std::chrono::milliseconds>(
               aNow - *mStoreCallStartedAt)
           : std::chrono::milliseconds::zero();
}

MemberMessage
MapFollowing::createMessage(Core::TimePoint aNow) const
{
  MemberMessage message;
  message.zoneTag = mMembers.localZoneTag();
  message.revision = mRevision;
  message.isLeaving = mMembers.isLeaving();
  message.confirmedAge = confirmedAge(aNow);
  return message;
}

std::vector<OutgoingMessage>
MapFollowing::createMessages(const std::vector<Address>& aRecipients,
                             Core::TimePoint aNow)
{
  const auto subscriptions = mMembers.subscriptions();
  const auto message = createMessage(aNow);
  std::vector<OutgoingMessage> messages;
  for (const auto recipient :
       std::set<Address>(aRecipients.begin(), aRecipients.end())) {
    messages.push_back({ recipient, message });
    messages.back().message.members = mMembers.entriesFor(recipient, aNow);
    messages.back().message.isSubscribing =
      std::find(subscriptions.begin(), subscriptions.end(), recipient) !=
      subscriptions.end();
  }
  return messages;
}

/** Tells those that follow this process, and the one that it follows. */
std::vector<OutgoingMessage>
MapFollowing::announce(Core::TimePoint aNow)
{
  auto recipients = mMembers.subscribers();
  const auto subscriptions = mMembers.subscriptions();
  recipients.insert(
    recipients.end(), subscriptions.begin(), subscriptions.end());
  return createMessages(recipients, aNow);
}

std::chrono::milliseconds
MapFollowing::confirmedAge(Core::TimePoint aNow) const
{
  return std::min(
    MemberMessage::kMaxAge,
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mConfirmedAt));
}

bool
MapFollowing::isConfirmed(Core::TimePoint aNow) const
{
  return confirmedAge(aNow) < kConfirmationTimeout;
}

bool
MapFollowing::isFetchDue(Core::TimePoint aNow) const
{
  if (!mNotice) {
    return false;
  }
  return !isCallingStore() || aNow - mNotice->at >= kReaderFetchDelay;
}

bool
MapFollowing::isStoreCallDue(Core::TimePoint aNow) const
{
  if (mHasSlept) {
    return true;
  }
  const bool hasFailed = mStoreFailedAt != Core::TimePoint{};
  const bool isJoining = aNow - mStartedAt < kJoinTime;
  const bool hasSource = !mMembers.subscriptions().empty();
  if (isJoining || (!mMembers.isReader() && hasSource)) {
    const bool isSubstitute = !hasFailed && aNow < mSubstituteUntil;
    return isSubstitute || confirmedAge(aNow) >= patience();
  }
  return !hasFailed || !isConfirmed(aNow) ||
         aNow - mStoreFailedAt >= kConfirmedRetryInterval;
}

bool
MapFollowing::isUnconfirmedFollower(Core::TimePoint aNow) const
{
  return !mHasSlept && aNow - mStartedAt >= kJoinTime && !mMembers.isReader() &&
         confirmedAge(aNow) >= patience();
}

/** How long a follower waits for a confirmation. */
std::chrono::milliseconds
MapFollowing::patience() const
{
  return kConfirmationTimeout +
         kDelayPerRank * std::min(mMembers.rank(), kMaxDelayedRanks);
}

} // namespace Membership
