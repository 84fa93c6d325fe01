#include "steering/agentloadtable.h"

#include "steering/fleetmap.h"
#include "steering/replyprogress.h"
#include "steering/slowstartlimiter.h"

#include <algorithm>

#include <algorithm>
#include <cmath>

namespace Steering {

std::optional<std::uint32_t>
LoadEstimate::slowStartBudget(std::uint16_t aLimit, Core::TimePoint aNow) const
{
  if (aLimit == 0) {
    return std::nullopt;
  }
  const bool isRecent = reportedAt != Core::TimePoint{} &&
                        aNow - reportedAt <= SlowStartLimiter::kWindow;
  const std::uint32_t budget =
    isRecent ? std::min(aLimit, reported.slowStartBudget) : aLimit;
  return budget - std::min(unreportedFlows, budget);
}

AgentLoadTable::Entry&
AgentLoadTable::findOrInsert(const Core::Endpoint& aAgent)
{
  auto& entry = mEntries[endpointKey(aAgent)];
  entry.agent = aAgent;
  return entry;
}

void
AgentLoadTable::expectReply(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  auto& loadEstimate = findOrInsert(aAgent).loadEstimate;
  if (loadEstimate.unansweredSince == Core::TimePoint{}) {
    loadEstimate.unansweredSince = aNow;
  }
}

void
AgentLoadTable::recordNewFlow(const Core::Endpoint& aAgent, bool aIsLongLived)
{
  auto& loadEstimate = findOrInsert(aAgent).loadEstimate;
  ++loadEstimate.unreportedFlows;
  loadEstimate.unreportedLongLivedFlows += aIsLongLived ? 1 : 0;
}

void
AgentLoadTable::recordReport(const Core::Endpoint& aAgent,
                             const ReportedLoad& aLoad,
                             Core::TimePoint aNow)
{
  auto& loadEstimate = findOrInsert(aAgent).loadEstimate;
  clearSuspicion(loadEstimate);
  updateMean(loadEstimate, aLoad, aNow);
  loadEstimate.reported = aLoad;
  loadEstimate.reportedAt = aNow;
  loadEstimate.unreportedFlows = 0;
  loadEstimate.unreportedLongLivedFlows = 0;
  loadEstimate.unansweredSince = {};
  const auto backoff = aLoad.isEjected ? kEjectedBackoff : kUnavailableBackoff;
  loadEstimate.unavailableUntil =
    aLoad.isUnavailable ? aNow + backoff : Core::TimePoint{};
  loadEstimate.ejectedUntil =
    aLoad.isEjected ? aNow + backoff : Core::TimePoint{};
}

const LoadEstimate&
AgentLoadTable::find(const Core::Endpoint& aAgent) const
{
  static const LoadEstimate sEmptyEstimate;
  const auto it = mEntries.find(endpointKey(aAgent));
  return it == mEntries.end() ? sEmptyEstimate : it->second.loadEstimate;
}

void
AgentLoadTable::updateSuspicion(Entry& aEntry, Core::TimePoint aNow)
{
  auto& loadEstimate = aEntry.loadEstimate;
  if (loadEstimate.isSuspected() ||
      loadEstimate.unansweredSince == Core::TimePoint{}) {
    return;
  }
  if (!mReplies.isOverdue(loadEstimate.unansweredSince, kReplyTimeout, aNow)) {
    return;
  }
  if (loadEstimate.isOverdue()) {
    loadEstimate.suspectedAt = aNow;
    ++mSuspectedCount;
    return;
  }
  loadEstimate.overdueAt = aNow;
  ++mOverdueCount;
  // The probe that takeDueProbes() returns next has the whole timeout.
  loadEstimate.unansweredSince = {};
  aEntry.lastProbeAt = {};
}

void
AgentLoadTable::updateMean(LoadEstimate& aLoadEstimate,
                           const ReportedLoad& aLoad,
                           Core::TimePoint aNow)
{
  // Each report counts for the time since the previous one, since reports with
  // replies come in bursts.
  constexpr std::chrono::duration<double> kMeanTime{ 1 };
  const bool isFirst = aLoadEstimate.reportedAt == Core::TimePoint{};
  const std::chrono::duration<double> elapsed =
    std::max(aNow - aLoadEstimate.reportedAt, Core::Duration(0));
  const auto weight = isFirst ? 1 : -std::expm1(-elapsed / kMeanTime);
  aLoadEstimate.meanInProgress +=
    weight * (aLoad.inProgress - aLoadEstimate.meanInProgress);
}

void
AgentLoadTable::clearSuspicion(LoadEstimate& aLoadEstimate)
{
  mOverdueCount -= aLoadEstimate.isOverdue() ? 1 : 0;
  mSuspectedCount -= aLoadEstimate.isSuspected() ? 1 : 0;
  aLoadEstimate.overdueAt = {};
  aLoadEstimate.suspectedAt = {};
}

bool
AgentLoadTable::isSuspected(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  const auto it = mEntries.find(endpointKey(aAgent));
  if (it == mEntries.end()) {
    return false;
  }
  updateSuspicion(it->second, aNow);
  return it->second.loadEstimate.isSuspected();
}

bool
AgentLoadTable::isUsable(const Core::Endpoint& aAgent, Core::TimePoint aNow)
{
  isSuspected(aAgent, aNow);
  const auto& loadEstimate = find(aAgent);
  return !loadEstimate.isOverdue() && loadEstimate.unavailableUntil <= aNow;
}

std::vector<Core::Endpoint>
AgentLoadTable::takeDueProbes(Core::TimePoint aNow)
{
  std::vector<Core::Endpoint> due;
  for (auto& [key, entry] : mEntries) {
    updateSuspicion(entry, aNow);
    const bool isDue = entry.loadEstimate.isOverdue() &&
                       aNow - entry.lastProbeAt >= kProbeInterval;
    if (isDue) {
      entry.lastProbeAt = aNow;
      if (entry.loadEstimate.unansweredSince == Core::TimePoint{}) {
        entry.loadEstimate.unansweredSince = aNow;
      }
      due.push_back(entry.agent);
    }
  }
  // The order of a hash table differs between runs.
  std::sort(due.begin(), due.end());
  return due;
}

std::size_t
AgentLoadTable::recentlySeenCount(std::chrono::milliseconds aPeriod,
                                  Core::TimePoint aNow) const
{
  std::size_t count = 0;
  for (const auto& [key, entry] : mEntries) {
    const bool isRecent = entry.loadEstimate.reportedAt != Core::TimePoint{} &&
                          aNow - entry.loadEstimate.reportedAt <= aPeriod;
    count += isRecent ? 1 : 0;
  }
  return count;
}

} // namespace Steering
