#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "ownership/loadboard.h"

#include <string>
#include <vector>

namespace Ownership {

/** Why a target does not admit a flow. */
enum class Admission
{
  Admitted,
  NoRoom,
  MemberLimit,
};

/**
 * Counts what the flows of one target take, and decides whether one more has
 * room. The counts come from the flows that were delivered and from no
 * report of the backend server.
 */
class TargetUsage
{
public:
  /** Takes the limits of a new revision over; what is in use stays. */
  void setLimits(const Config::Document& aDocument,
                 const Config::Target& aTarget);
  /** The slots grow from one to all within the slow start. */
  void setStartedAt(Core::TimePoint aTime) { mStartedAt = aTime; }

  std::uint16_t memberIndex(std::uint32_t aCallerAddress) const;
  const std::string& memberName(std::uint16_t aMember) const;

  Admission check(Config::Occupies aOccupies,
                  std::uint16_t aMember,
                  Core::TimePoint aNow) const;
  void take(Config::Occupies aOccupies, std::uint16_t aMember);
  void release(Config::Occupies aOccupies, std::uint16_t aMember);

  Load load(Core::TimePoint aNow) const;

private:
  struct MemberUse
  {
    Config::Member member;
    std::uint32_t slotsInUse = 0;
  };

  std::uint32_t slotsAt(Core::TimePoint aNow) const;

  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  std::uint32_t mSlotsInUse = 0;
  std::uint32_t mConnectionsInUse = 0;
  std::chrono::nanoseconds mSlowStart{ 0 };
  Core::TimePoint mStartedAt{};
  /** The first entry stands for callers of no member. */
  std::vector<MemberUse> mMembers{ MemberUse{} };
};

} // namespace Ownership
