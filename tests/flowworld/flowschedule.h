#pragma once

#include <string>
#include <vector>

namespace FlowWorld {

/** What came of one random schedule. */
struct ScheduleResult
{
  /** A line for each promise that was broken; empty when all held. */
  std::vector<std::string> broken;
  /** What was done, with its time in milliseconds. */
  std::vector<std::string> actions;
  std::size_t requests = 0;
  std::size_t answered = 0;
};

/**
 * Plays fifteen seconds of callers with kills, restarts, freezes, lost
 * packets, drains, crashes, reused addresses and maps that come late, all
 * drawn from the seed. Equal seeds give equal results.
 */
ScheduleResult
playSchedule(unsigned aSeed);

} // namespace FlowWorld
