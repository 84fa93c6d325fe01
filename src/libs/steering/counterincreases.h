#pragma once

#include "steering/steeringcounters.h"

#include "telemetry/eventlog.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace Steering {

/** By how much counters have grown since the last log line. Not thread-safe. */
class CounterIncreases
{
public:
  CounterIncreases(const SteeringCounters& aCounters,
                   std::vector<SteeringCounter> aShown)
    : mCounters(aCounters)
    , mShown(std::move(aShown))
    , mPreviousValues(mShown.size())
  {
  }

  /** Adds a field for each shown counter that has grown. */
  void addTo(Telemetry::EventFields& aFields) const;
  /** Starts the next period. */
  void restart();

private:
  const SteeringCounters& mCounters;
  std::vector<SteeringCounter> mShown;
  std::vector<std::uint64_t> mPreviousValues;
};

} // namespace Steering
