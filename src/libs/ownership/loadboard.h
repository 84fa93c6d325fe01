#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Messages {
class LoadReport;
}

namespace Ownership {

/** What a target has in use and may use. */
struct Load
{
  std::uint32_t slotsInUse = 0;
  std::uint32_t slots = 0;
  std::uint32_t connectionsInUse = 0;
  std::uint32_t connections = 0;
};

/** What a home knows of one of its peers. */
struct PeerLoad
{
  Load load;
  bool isLeaving = false;
  /** True when the peer remembers the whole replay window. */
  bool isComplete = false;
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /** Assignments made here to this incarnation. */
  std::uint64_t assigned = 0;
  /** How many of them the last report contains. */
  std::uint64_t assignmentsSeen = 0;
  Core::TimePoint heardAt;
  Core::TimePoint assignedAt;
};

/**
 * The newest load report of each peer, corrected by what was assigned since.
 * A report that arrives late never takes the place of a newer one.
 */
class LoadBoard
{
public:
  void report(const Messages::LoadReport& aReport, Core::TimePoint aNow);
  /** The process did not run for so long; that is no silence of peers. */
  void noteSleep(Core::Duration aTime);
  void noteAssigned(Config::Identity aPeer, Core::TimePoint aNow);

  /** Null for a peer that never reported. */
  const PeerLoad* find(Config::Identity aPeer) const;
  /** False when the peer's reports stopped coming. */
  bool isAlive(Config::Identity aPeer, Core::TimePoint aNow) const;
  /** The last report and the assignments that it lacks. */
  Load estimate(const PeerLoad& aPeer, Core::TimePoint aNow) const;

private:
  absl::flat_hash_map<Config::Identity, PeerLoad> mPeers;
};

} // namespace Ownership
