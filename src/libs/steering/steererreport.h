#pragma once

#include "steering/steeringcounters.h"

#include "core/clock.h"
#include "telemetry/eventlog.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace Steering {

/** What a balancer waits for at the moment. */
struct PendingWork
{
  std::size_t searches = 0;
  std::size_t newFlows = 0;
  std::size_t suspectedAgents = 0;

  bool isNone() const
  {
    return searches == 0 && newFlows == 0 && suspectedAgents == 0;
  }
};

/**
 * Writes the event BalancerLoad once per second while a balancer searches
 * owners, places flows or suspects agents. It shows whether the balancer itself
 * is late. Not thread-safe.
 */
class SteererReport
{
public:
  static constexpr std::chrono::seconds kInterval{ 1 };

  explicit SteererReport(const SteeringCounters& aCounters)
    : mCounters(aCounters)
  {
  }

  /** An agent's reply took this long. */
  void recordReplyTime(std::chrono::milliseconds aReplyTime);
  /** Called at each tick. */
  void tick(const PendingWork& aWork,
            Telemetry::EventLog& aEvents,
            Core::TimePoint aNow);

private:
  /** The counters whose increase the event shows. */
  static constexpr std::array kCounters{
    SteeringCounter::PacketsReceived, SteeringCounter::PacketsForwarded,
    SteeringCounter::OwnerQueries,    SteeringCounter::FlowsSearched,
    SteeringCounter::FlowsFound,      SteeringCounter::BytesToAgents,
  };

  Telemetry::EventFields createFields(const PendingWork& aWork) const;

  const SteeringCounters& mCounters;
  std::array<std::uint64_t, kCounters.size()> mPreviousValues{};
  std::chrono::milliseconds mLongestReplyTime{ 0 };
  std::chrono::milliseconds mLongestPause{ 0 };
  Core::TimePoint mLastTickAt{};
  Core::TimePoint mLastReportAt{};
};

} // namespace Steering
