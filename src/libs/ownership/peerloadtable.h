#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Messages {
class LoadReport;
}

namespace Ownership {

/** The slots and connections that a target uses, and their limits. */
struct Load
{
  std::uint32_t slotsInUse = 0;
  std::uint32_t slots = 0;
  std::uint32_t connectionsInUse = 0;
  std::uint32_t connections = 0;
};

/** The last load report of a peer, and the flows assigned to the peer. */
struct PeerLoad
{
  Load load;
  /**
   * True if the peer accepts no new flow: it is draining, its zone is
   * evacuated, its backend server is unhealthy, or it is not in the document.
   */
  bool isDraining = false;
  /** True if the peer has been running for the whole replay window. */
  bool hasFullHistory = false;
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  /** Number of flows that this agent assigned to this incarnation. */
  std::uint64_t assignmentsMade = 0;
  /** Number of these assignments that the last report includes. */
  std::uint64_t assignmentsSeen = 0;
  Core::TimePoint lastReportAt;
  Core::TimePoint lastAssignedAt;
};

/**
 * The newest load report of each peer and the flows assigned to it since.
 * A report that arrives out of order never replaces a newer one.
 */
class PeerLoadTable
{
public:
  void update(const Messages::LoadReport& aReport, Core::TimePoint aNow);
  /**
   * Shifts the report times by the duration of a suspension of the process, so
   * that no peer counts as unresponsive because of it.
   */
  void recordSuspension(Core::Duration aDuration);
  void recordAssignment(Config::Identity aPeer, Core::TimePoint aNow);

  /** Null if the peer has never reported. */
  const PeerLoad* find(Config::Identity aPeer) const;
  /** False if the last report is too old or there is none. */
  bool isResponsive(Config::Identity aPeer, Core::TimePoint aNow) const;
  /** The reported load plus the assignments that the report lacks. */
  Load estimate(const PeerLoad& aPeer, Core::TimePoint aNow) const;

private:
  absl::flat_hash_map<Config::Identity, PeerLoad> mPeers;
};

} // namespace Ownership
