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
  // The index of a member never changes, since flows refer to it.
  for (const auto& member : aDocument.members) {
    const auto it = std::find_if(
      mMembers.begin(), mMembers.end(), [&member](const MemberUsage& aUsage) {
        return aUsage.member.name == member.name;
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
    const bool isBetter =
      best == 0 || member.prefixLength > mMembers[best].member.prefixLength;
    if (isBetter && member.contains(aCallerAddress)) {
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
TargetUsage::availableSlots(Core::TimePoint aNow) const
{
  const auto age = aNow - mStartedAt;
  if (age >= mSlowStart || mSlots == 0) {
    return mSlots;
  }
  const auto rampedSlots =
    static_cast<std::uint32_t>(mSlots * static_cast<double>(age.count()) /
                               static_cast<double>(mSlowStart.count()));
  return std::max<std::uint32_t>(1, rampedSlots);
}

CapacityCheck
TargetUsage::checkCapacity(Config::Resource aOccupies,
                           std::uint16_t aMember,
                           Core::TimePoint aNow) const
{
  if (mConnectionsInUse >= mConnections) {
    return CapacityCheck::NoCapacity;
  }
  if (aOccupies == Config::Resource::Connection) {
    return CapacityCheck::Available;
  }
  if (mSlotsInUse >= availableSlots(aNow)) {
    return CapacityCheck::NoCapacity;
  }
  const auto& usage = mMembers[aMember];
  const auto share = aMember == 0 ? kPercent : usage.member.slotShare;
  const auto limit = std::max<std::uint32_t>(1, mSlots * share / kPercent);
  return usage.slotsInUse >= limit ? CapacityCheck::MemberLimit
                                   : CapacityCheck::Available;
}

void
TargetUsage::acquire(Config::Resource aOccupies, std::uint16_t aMember)
{
  ++mConnectionsInUse;
  if (aOccupies == Config::Resource::Slot) {
    ++mSlotsInUse;
    ++mMembers[aMember].slotsInUse;
  }
}

void
TargetUsage::release(Config::Resource aOccupies, std::uint16_t aMember)
{
  --mConnectionsInUse;
  if (aOccupies == Config::Resource::Slot) {
    --mSlotsInUse;
    --mMembers[aMember].slotsInUse;
  }
}

Load
TargetUsage::load(Core::TimePoint aNow) const
{
  return { mSlotsInUse, availableSlots(aNow), mConnectionsInUse, mConnections };
}

} // namespace Ownership
