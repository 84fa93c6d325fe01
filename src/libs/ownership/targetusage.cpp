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
  std::size_t bestIndex = 0;
  for (std::size_t i = 1; i < mMembers.size(); ++i) {
    const auto& member = mMembers[i].member;
    const bool isBetter =
      bestIndex == 0 ||
      member.prefixLength > mMembers[bestIndex].member.prefixLength;
    if (isBetter && member.contains(aCallerAddress)) {
      bestIndex = i;
    }
  }
  return static_cast<std::uint16_t>(bestIndex);
}

const std::string&
TargetUsage::memberName(std::uint16_t aMemberIndex) const
{
  static const std::string sNone = "none";
  return aMemberIndex == 0 ? sNone : mMembers[aMemberIndex].member.name;
}

std::uint32_t
TargetUsage::availableSlots(Core::TimePoint aNow) const
{
  const auto uptime = aNow - mStartedAt;
  if (uptime >= mSlowStart || mSlots == 0) {
    return mSlots;
  }
  const auto rampedSlots =
    static_cast<std::uint32_t>(mSlots * static_cast<double>(uptime.count()) /
                               static_cast<double>(mSlowStart.count()));
  return std::max<std::uint32_t>(1, rampedSlots);
}

CapacityCheck
TargetUsage::checkCapacity(Config::Resource aResource,
                           std::uint16_t aMemberIndex,
                           Core::TimePoint aNow) const
{
  if (mConnectionsInUse >= mConnections) {
    return CapacityCheck::NoCapacity;
  }
  if (aResource == Config::Resource::Connection) {
    return CapacityCheck::Available;
  }
  if (mSlotsInUse >= availableSlots(aNow)) {
    return CapacityCheck::NoCapacity;
  }
  const auto& memberUsage = mMembers[aMemberIndex];
  const auto sharePercent =
    aMemberIndex == 0 ? kPercent : memberUsage.member.slotShare;
  const auto slotLimit =
    std::max<std::uint32_t>(1, mSlots * sharePercent / kPercent);
  return memberUsage.slotsInUse >= slotLimit ? CapacityCheck::MemberLimit
                                             : CapacityCheck::Available;
}

void
TargetUsage::acquire(Config::Resource aResource, std::uint16_t aMemberIndex)
{
  ++mConnectionsInUse;
  if (aResource == Config::Resource::Slot) {
    ++mSlotsInUse;
    ++mMembers[aMemberIndex].slotsInUse;
  }
}

void
TargetUsage::release(Config::Resource aResource, std::uint16_t aMemberIndex)
{
  --mConnectionsInUse;
  if (aResource == Config::Resource::Slot) {
    --mSlotsInUse;
    --mMembers[aMemberIndex].slotsInUse;
  }
}

Load
TargetUsage::load(Core::TimePoint aNow) const
{
  return { mSlotsInUse, availableSlots(aNow), mConnectionsInUse, mConnections };
}

} // namespace Ownership
