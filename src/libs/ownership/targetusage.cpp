#include "ownership/targetusage.h"

#include <algorithm>

namespace Ownership {

namespace {

constexpr std::uint32_t kPercent = 100;

} // namespace

void
TargetUsage::setLimits(const Config::Document& aDocument,
                       const Config::Target& aTarget)
{
  mSlots = aTarget.slots;
  mConnections = aTarget.connections;
  mSlowStart = aDocument.slowStart;
  // Members keep their index for life, since flows refer to it.
  for (const auto& member : aDocument.members) {
    const auto it = std::find_if(
      mMembers.begin(), mMembers.end(), [&member](const MemberUse& aUse) {
        return aUse.member.name == member.name;
      });
    if (it == mMembers.end()) {
      mMembers.push_back({ member, 0 });
    } else {
      it->member = member;
    }
  }
}

std::uint16_t
TargetUsage::memberIndex(std::uint32_t aCallerAddress) const
{
  std::size_t best = 0;
  for (std::size_t i = 1; i < mMembers.size(); ++i) {
    const auto& member = mMembers[i].member;
    const bool better =
      best == 0 || member.prefixLength > mMembers[best].member.prefixLength;
    if (better && member.contains(aCallerAddress)) {
      best = i;
    }
  }
  return static_cast<std::uint16_t>(best);
}

const std::string&
TargetUsage::memberName(std::uint16_t aMember) const
{
  static const std::string sNone = "none";
  return aMember == 0 ? sNone : mMembers[aMember].member.name;
}

std::uint32_t
TargetUsage::slotsAt(Core::TimePoint aNow) const
{
  const auto age = aNow - mStartedAt;
  if (age >= mSlowStart || mSlots == 0) {
    return mSlots;
  }
  const auto grown =
    static_cast<std::uint32_t>(mSlots * static_cast<double>(age.count()) /
                               static_cast<double>(mSlowStart.count()));
  return std::max<std::uint32_t>(1, grown);
}

Admission
TargetUsage::check(Config::Occupies aOccupies,
                   std::uint16_t aMember,
                   Core::TimePoint aNow) const
{
  if (mConnectionsInUse >= mConnections) {
    return Admission::NoRoom;
  }
  if (aOccupies == Config::Occupies::Connection) {
    return Admission::Admitted;
  }
  if (mSlotsInUse >= slotsAt(aNow)) {
    return Admission::NoRoom;
  }
  const auto& use = mMembers[aMember];
  const auto share = aMember == 0 ? kPercent : use.member.slotShare;
  const auto limit = std::max<std::uint32_t>(1, mSlots * share / kPercent);
  return use.slotsInUse >= limit ? Admission::MemberLimit : Admission::Admitted;
}

void
TargetUsage::take(Config::Occupies aOccupies, std::uint16_t aMember)
{
  ++mConnectionsInUse;
  if (aOccupies == Config::Occupies::Slot) {
    ++mSlotsInUse;
    ++mMembers[aMember].slotsInUse;
  }
}

void
TargetUsage::release(Config::Occupies aOccupies, std::uint16_t aMember)
{
  --mConnectionsInUse;
  if (aOccupies == Config::Occupies::Slot) {
    --mSlotsInUse;
    --mMembers[aMember].slotsInUse;
  }
}

Load
TargetUsage::load(Core::TimePoint aNow) const
{
  return { mSlotsInUse, slotsAt(aNow), mConnectionsInUse, mConnections };
}

} // namespace Ownership
