#pragma once

#include "steering/counterincreases.h"

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Steering {

/** The requests of an agent at one moment. */
struct AgentWork
{
  /** Requests that the backend server has. */
  std::uint32_t delivered = 0;
  /** Admitted flows whose first request has not arrived yet. */
  std::uint32_t expected = 0;
  /** Requests that wait at the agent for a slot. */
  std::size_t queued = 0;
  std::uint32_t slots = 0;
  /** Mean time to answer a request. */
  std::chrono::milliseconds serviceTime{ 0 };
};

/**
 * Writes the event AgentLoad once per second while packets arrive. The lines of
 * single flows are limited, so they do not show what happens to most requests
 * under overload. Not thread-safe.
 */
class AgentReport
{
public:
  static constexpr std::chrono::seconds kInterval{ 1 };

  explicit AgentReport(const SteeringCounters& aCounters);

  /** Called at each tick. */
  void tick(const AgentWork& aWork,
            Telemetry::EventLog& aEvents,
            Core::TimePoint aNow);

private:
  CounterIncreases mIncreases;
  Core::TimePoint mLastReportAt{};
};

} // namespace Steering
