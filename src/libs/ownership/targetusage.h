#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "ownership/peerloadtable.h"

#include <string>
#include <vector>

namespace Ownership {

/** Result of a capacity check for one more flow. */
enum class CapacityCheck
{
  Available,
  NoCapacity,
  /** The member already uses its share of the slots. */
  MemberLimit,
};

/**
 * Counts the slots and connections that the flows of a target use, and checks
 * whether it has capacity for another flow. The counts are based on delivered
 * flows, not on reports of the backend server.
 */
class TargetUsage
{
public:
  /** Applies the limits of a document; slots in use are unaffected. */
  void setLimits(const Config::Document& aDocument,
                 const Config::Target& aTarget);
  /** The slow start raises the slots from one to all after this time. */
  void setStartedAt(Core::TimePoint aTime) { mStartedAt = aTime; }

  /** Index of the member with the longest matching prefix; 0 for none. */
  std::uint16_t memberIndex(std::uint32_t aCallerAddress) const;
  const std::string& memberName(std::uint16_t aMemberIndex) const;

  CapacityCheck checkCapacity(Config::Resource aResource,
                              std::uint16_t aMemberIndex,
                              Core::TimePoint aNow) const;
  void acquire(Config::Resource aResource, std::uint16_t aMemberIndex);
  void release(Config::Resource aResource, std::uint16_t aMemberIndex);

  Load load(Core::TimePoint aNow) const;

private:
  struct MemberUsage
  {
    Config::Member member;
    std::uint32_t slotsInUse = 0;
  };

  std::uint32_t availableSlots(Core::TimePoint aNow) const;

  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  std::uint32_t mSlotsInUse = 0;
  std::uint32_t mConnectionsInUse = 0;
  std::chrono::nanoseconds mSlowStart{ 0 };
  Core::TimePoint mStartedAt{};
  /** The first entry is for callers that belong to no member. */
  std::vector<MemberUsage> mMembers{ MemberUsage{} };
};

} // namespace Ownership
