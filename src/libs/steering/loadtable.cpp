#include "steering/loadtable.h"

#include "steering/fleetmap.h"

namespace Steering {

LoadTable::Entry&
LoadTable::entryOf(const Core::Endpoint& aAgent)
{
  auto& entry = mBeliefs[endpointKey(aAgent)];
  entry.agent = aAgent;
  return entry;
}

void
LoadTable::noteAsked(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  auto& belief = entryOf(aAgent).belief;
  if (belief.askedAt == Core::TimePoint{}) {
    belief.askedAt = aNow;
  }
}

void
LoadTable::noteFlow(const Core::Endpoint& aAgent, bool aIsLong)
{
  auto& belief = entryOf(aAgent).belief;
  ++belief.unreported;
  belief.unreportedLong += aIsLong ? 1 : 0;
}

void
LoadTable::noteReport(const Core::Endpoint& aAgent,
                      const ReportedLoad& aLoad,
                      Core::TimePoint aNow)
{
  auto& belief = entryOf(aAgent).belief;
  if (belief.isSuspected()) {
    --mSuspectedCount;
  }
  belief.reported = aLoad;
  belief.reportedAt = aNow;
  belief.unreported = 0;
  belief.unreportedLong = 0;
  belief.askedAt = {};
  belief.suspectedAt = {};
  belief.unavailableUntil =
    aLoad.isUnavailable ? aNow + kUnavailableTime : Core::TimePoint{};
}

const LoadBelief&
LoadTable::find(const Core::Endpoint& aAgent) const
{
  static const LoadBelief sUnknown;
  const auto it = mBeliefs.find(endpointKey(aAgent));
  return it == mBeliefs.end() ? sUnknown : it->second.belief;
}

void
LoadTable::updateSuspicion(Entry& aEntry, Core::TimePoint aNow)
{
  auto& belief = aEntry.belief;
  const bool isLate = belief.askedAt != Core::TimePoint{} &&
                      aNow - belief.askedAt > kAnswerTimeout;
  if (isLate && !belief.isSuspected()) {
    belief.suspectedAt = aNow;
    ++mSuspectedCount;
  }
}

bool
LoadTable::isSuspected(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  const auto it = mBeliefs.find(endpointKey(aAgent));
  if (it == mBeliefs.end()) {
    return false;
  }
  updateSuspicion(it->second, aNow);
  return it->second.belief.isSuspected();
}

bool
LoadTable::isUsable(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  return !isSuspected(aAgent, aNow) && find(aAgent).unavailableUntil <= aNow;
}

std::vector<Core::Endpoint>
LoadTable::takeDueProbes(Core::TimePoint aNow)
{
  std::vector<Core::Endpoint> due;
  for (auto& [key, entry] : mBeliefs) {
    const bool isDue =
      entry.belief.isSuspected() && aNow - entry.probedAt >= kProbeInterval;
    if (isDue) {
      entry.probedAt = aNow;
      due.push_back(entry.agent);
    }
  }
  return due;
}

std::size_t
LoadTable::heardWithin(std::chrono::milliseconds aTime,
                       Core::TimePoint aNow) const
{
  std::size_t count = 0;
  for (const auto& [key, entry] : mBeliefs) {
    const bool isHeard = entry.belief.reportedAt != Core::TimePoint{} &&
                         aNow - entry.belief.reportedAt <= aTime;
    count += isHeard ? 1 : 0;
  }
  return count;
}

} // namespace Steering
