#pragma once

#include "steering/counterincreases.h"

#include "core/clock.h"
#include "telemetry/eventlog.h"

#include <chrono>
#include <cstddef>

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

  explicit SteererReport(const SteeringCounters& aCounters);

  /** An agent's reply took this long. */
  void recordReplyTime(std::chrono::milliseconds aReplyTime);
  /** Called at each tick. */
  void tick(const PendingWork& aWork,
            Telemetry::EventLog& aEvents,
            Core::TimePoint aNow);

private:
  Telemetry::EventFields createFields(const PendingWork& aWork) const;

  CounterIncreases mIncreases;
  std::chrono::milliseconds mLongestReplyTime{ 0 };
  std::chrono::milliseconds mLongestPause{ 0 };
  Core::TimePoint mLastTickAt{};
  Core::TimePoint mLastReportAt{};
};

} // namespace Steering
