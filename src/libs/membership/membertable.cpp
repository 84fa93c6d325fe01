#include "membership/membertable.h"

#include "steering/fleetmap.h"
#include "steering/flowhash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Membership {

namespace {

/** Every so many intervals a seed gets a message, to join separate groups. */
constexpr std::uint64_t kSeedInterval = 8;

/** A pseudorandom number that is the same in all processes. */
std::uint64_t
rankOf(Address aAddress)
{
  // The increment of SplitMix64, so that small addresses differ in many bits.
  constexpr std::uint64_t kIncrement = 0x9E3779B97F4A7C15U;
  return Steering::mixBits(aAddress + kIncrement);
}

} // namespace

std::uint32_t
zoneTag(absl::string_view aZone)
{
  return Steering::FleetMap::serviceTag(aZone);
}

MemberTable::MemberTable(Address aSelf,
                         std::uint32_t aZoneTag,
                         std::uint64_t aSeed)
  : mSelf(aSelf)
  , mZoneTag(aZoneTag)
  , mRandom(aSeed)
{
}

bool
MemberTable::recordMessage(Address aFrom,
                           const MemberMessage& aMessage,
                           Core::TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  const bool isNewMember = !mMembers.contains(aFrom);
  auto& sender = mMembers[aFrom];
  if (isNewMember || sender.isSuspected ||
      sender.isLeaving != aMessage.isLeaving) {
    mRanked.clear();
  }
  sender.isLeaving = aMessage.isLeaving;
  sender.zoneTag = aMessage.zoneTag;
  sender.knownAt = aNow;
  sender.heardAt = aNow;
  sender.isSuspected = false;
  const bool isNewSubscriber =
    aMessage.isSubscribing &&
    aNow - sender.subscribedAt >= kSubscriptionTimeout;
  if (aMessage.isSubscribing) {
    sender.subscribedAt = aNow;
  }
  for (const auto& entry : aMessage.members) {
    if (entry.address == mSelf || entry.age >= kMemberTimeout) {
      continue;
    }
    const auto [it, isNew] = mMembers.try_emplace(entry.address);
    auto& member = it->second;
    if (isNew) {
      mRanked.clear();
      member.zoneTag = entry.zoneTag;
    }
    member.knownAt = std::max(member.knownAt, aNow - entry.age);
  }
  return isNewMember || isNewSubscriber;
}

void
MemberTable::tick(Core::TimePoint aNow)
{
  mNow = aNow;
  ++mTickCount;
  const auto erasedCount = std::erase_if(mMembers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.knownAt >= kMemberTimeout;
  });
  if (erasedCount > 0) {
    mRanked.clear();
  }
  suspectSilentSubscriptions(aNow);
}

void
MemberTable::suspectSilentSubscriptions(Core::TimePoint aNow)
{
  const auto needed = subscriptions();
  for (auto& [address, member] : mMembers) {
    const bool isNeeded =
      std::find(needed.begin(), needed.end(), address) != needed.end();
    if (!isNeeded) {
      member.neededSince = {};
      continue;
    }
    if (member.neededSince == Core::TimePoint{}) {
      member.neededSince = aNow;
    }
    const auto silentSince = std::max(member.neededSince, member.heardAt);
    if (aNow - silentSince >= kSubscriptionTimeout) {
      member.isSuspected = true;
      mRanked.clear();
    }
  }
}

void
MemberTable::suspect(Address aMember)
{
  if (const auto it = mMembers.find(aMember); it != mMembers.end()) {
    it->second.isSuspected = true;
    mRanked.clear();
  }
}

const std::vector<Address>&
MemberTable::ranked(std::uint32_t aZoneTag) const
{
  sortMembers();
  return mRanked[aZoneTag];
}

void
MemberTable::sortMembers() const
{
  if (!mRanked.empty()) {
    return;
  }
  auto& zoneMembers = mRanked[mZoneTag];
  if (!mIsLeaving) {
    zoneMembers.push_back(mSelf);
  }
  for (const auto& [address, member] : mMembers) {
    if (!member.isSuspected && !member.isLeaving) {
      mRanked[member.zoneTag].push_back(address);
    }
  }
  for (auto& [zone, addresses] : mRanked) {
    std::sort(
      addresses.begin(), addresses.end(), [](Address aLeft, Address aRight) {
        return rankOf(aLeft) < rankOf(aRight);
      });
  }
}

std::size_t
MemberTable::readersPerZone() const
{
  sortMembers();
  const auto zoneCount = mRanked.size();
  return (kMinReaders + zoneCount - 1) / zoneCount;
}

void
MemberTable::setLeaving()
{
  mIsLeaving = true;
  mRanked.clear();
}

bool
MemberTable::isReader() const
{
  return !mIsLeaving && rank() < readersPerZone();
}

std::size_t
MemberTable::rank() const
{
  const auto& addresses = ranked(mZoneTag);
  return static_cast<std::size_t>(
    std::find(addresses.begin(), addresses.end(), mSelf) - addresses.begin());
}

std::vector<Address>
MemberTable::subscriptions() const
{
  return isReader() ? otherReaders() : followed();
}

std::vector<Address>
MemberTable::otherReaders() const
{
  const auto readerCount = readersPerZone();
  std::vector<Address> readers;
  for (const auto& [zone, addresses] : mRanked) {
    for (std::size_t i = 0; i < std::min(readerCount, addresses.size()); ++i) {
      if (addresses[i] != mSelf) {
        readers.push_back(addresses[i]);
      }
    }
  }
  return readers;
}

std::vector<Address>
MemberTable::followed() const
{
  const auto readerCount = readersPerZone();
  const auto ownRank = rank();
  const auto& zoneMembers = ranked(mZoneTag);
  const auto index =
    ownRank < readerCount ? 0 : (ownRank - readerCount) / kFanOut;
  if (index < zoneMembers.size()) {
    return { zoneMembers[index] };
  }
  // This process stops, and so does the rest of its zone.
  for (const auto& [zone, addresses] : mRanked) {
    if (!addresses.empty()) {
      return { addresses.front() };
    }
  }
  return {};
}

std::vector<Address>
MemberTable::subscribers() const
{
  std::vector<Address> addresses;
  for (const auto& [address, member] : mMembers) {
    if (member.subscribedAt != Core::TimePoint{} &&
        mNow - member.subscribedAt < kSubscriptionTimeout) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

std::vector<Address>
MemberTable::randomMembers()
{
  std::vector<Address> addresses;
  for (const auto& [address, member] : mMembers) {
    addresses.push_back(address);
  }
  const bool needsSeed =
    mTickCount < kSeedInterval || mTickCount % kSeedInterval == 0;
  std::vector<Address> members;
  if (addresses.empty() || needsSeed) {
    members = mSeeds;
  }
  if (!addresses.empty()) {
    members.push_back(addresses[mRandom() % addresses.size()]);
  }
  std::erase(members, mSelf);
  return members;
}

std::vector<Address>
MemberTable::nearestMembers(std::size_t aCount) const
{
  std::vector<Address> addresses;
  for (const bool isLocalZone : { true, false }) {
    for (const auto& [address, member] : mMembers) {
      if ((member.zoneTag == mZoneTag) == isLocalZone &&
          addresses.size() < aCount && !member.isSuspected &&
          !member.isLeaving) {
        addresses.push_back(address);
      }
    }
  }
  return addresses;
}

bool
MemberTable::isLocal(Address aMember) const
{
  const auto it = mMembers.find(aMember);
  return it != mMembers.end() && it->second.zoneTag == mZoneTag;
}

std::vector<MemberEntry>
MemberTable::entriesFor(Address aRecipient, Core::TimePoint aNow)
{
  constexpr std::size_t kOtherZonesCount = MemberMessage::kMaxEntries / 4;
  const auto it = mMembers.find(aRecipient);
  const auto zone = it == mMembers.end() ? mZoneTag : it->second.zoneTag;
  std::vector<Address> zoneMembers;
  std::vector<Address> others;
  for (const auto& [address, member] : mMembers) {
    if (!member.isLeaving) {
      (member.zoneTag == zone ? zoneMembers : others).push_back(address);
    }
  }
  std::vector<MemberEntry> entries;
  addEntries(entries, others, kOtherZonesCount, aNow);
  addEntries(
    entries, zoneMembers, MemberMessage::kMaxEntries - entries.size(), aNow);
  return entries;
}

void
MemberTable::addEntries(std::vector<MemberEntry>& aEntries,
                        const std::vector<Address>& aMembers,
                        std::size_t aCount,
                        Core::TimePoint aNow)
{
  std::vector<Address> chosen;
  std::sample(aMembers.begin(),
              aMembers.end(),
              std::back_inserter(chosen),
              aCount,
              mRandom);
  for (const auto address : chosen) {
    const auto& member = mMembers.at(address);
    aEntries.push_back({ address,
                         member.zoneTag,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                           aNow - member.knownAt) });
  }
}

} // namespace Membership
