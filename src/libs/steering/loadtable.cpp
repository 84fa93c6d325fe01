#include "steering/loadtable.h"

#include "steering/fleetmap.h"

namespace Steering {

LoadTable::Entry&
LoadTable::entryOf(const Core::Endpoint& aAgent)
{
  auto& entry = mEntries[endpointKey(aAgent)];
  entry.agent = aAgent;
  return entry;
}

void
LoadTable::noteAsked(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  auto& belief = entryOf(aAgent).belief;
  if (belief.unansweredSince == Core::TimePoint{}) {
    belief.unansweredSince = aNow;
  }
}

void
LoadTable::recordNewFlow(const Core::Endpoint& aAgent, bool aIsLong)
{
  auto& belief = entryOf(aAgent).belief;
  ++belief.unreportedFlows;
  belief.unreportedLongFlows += aIsLong ? 1 : 0;
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
  belief.unreportedFlows = 0;
  belief.unreportedLongFlows = 0;
  belief.unansweredSince = {};
  belief.suspectedAt = {};
  belief.unavailableUntil =
    aLoad.isUnavailable ? aNow + kUnavailableBackoff : Core::TimePoint{};
}

const LoadBelief&
LoadTable::find(const Core::Endpoint& aAgent) const
{
  static const LoadBelief sUnknown;
  const auto it = mEntries.find(endpointKey(aAgent));
  return it == mEntries.end() ? sUnknown : it->second.belief;
}

void
LoadTable::updateSuspicion(Entry& aEntry, Core::TimePoint aNow)
{
  auto& belief = aEntry.belief;
  const bool isOverdue = belief.unansweredSince != Core::TimePoint{} &&
                         aNow - belief.unansweredSince > kReplyTimeout;
  if (isOverdue && !belief.isSuspected()) {
    belief.suspectedAt = aNow;
    ++mSuspectedCount;
  }
}

bool
LoadTable::isSuspected(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  const auto it = mEntries.find(endpointKey(aAgent));
  if (it == mEntries.end()) {
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
  for (auto& [key, entry] : mEntries) {
    const bool isDue =
      entry.belief.isSuspected() && aNow - entry.lastProbeAt >= kProbeInterval;
    if (isDue) {
      entry.lastProbeAt = aNow;
      due.push_back(entry.agent);
    }
  }
  return due;
}

std::size_t
LoadTable::heardCount(std::chrono::milliseconds aTime,
                      Core::TimePoint aNow) const
{
  std::size_t count = 0;
  for (const auto& [key, entry] : mEntries) {
    const bool isRecent = entry.belief.reportedAt != Core::TimePoint{} &&
                          aNow - entry.belief.reportedAt <= aTime;
    count += isRecent ? 1 : 0;
  }
  return count;
}

} // namespace Steering
