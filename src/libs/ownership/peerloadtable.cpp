#include "ownership/peerloadtable.h"

#include "messages/peermessages.pb.h"

#include <chrono>
#include <utility>

namespace Ownership {

namespace {

/** Four heartbeats; a peer with an older report is assigned no new flow. */
constexpr std::chrono::milliseconds kReportTimeout{ 1'000 };
/** An assignment that no report includes after this time was lost. */
constexpr std::chrono::milliseconds kAssignmentTimeout{ 300 };

} // namespace

void
PeerLoadTable::update(const Messages::LoadReport& aReport, Core::TimePoint aNow)
{
  auto& peer = mPeers[aReport.target()];
  const bool isNewIncarnation = aReport.incarnation() != peer.incarnation;
  // The clock of a replacement machine may be behind. Any incarnation may
  // therefore replace one that has become unresponsive.
  const bool isOlderIncarnation = aReport.incarnation() < peer.incarnation &&
                                  aNow - peer.lastReportAt <= kReportTimeout;
  const bool isStale = !isNewIncarnation && aReport.sequence() <= peer.sequence;
  if (isOlderIncarnation || isStale) {
    return;
  }
  if (isNewIncarnation) {
    peer.assignmentsMade = aReport.assignments_seen();
  }
  peer.load = { aReport.slots_in_use(),
                aReport.slots(),
                aReport.connections_in_use(),
                aReport.connections() };
  peer.isDraining = aReport.leaving();
  peer.hasFullHistory = aReport.complete();
  peer.revision = aReport.revision();
  peer.incarnation = aReport.incarnation();
  peer.sequence = aReport.sequence();
  peer.assignmentsSeen = aReport.assignments_seen();
  peer.lastReportAt = aNow;
}

void
PeerLoadTable::recordAssignment(Config::Identity aPeer, Core::TimePoint aNow)
{
  auto& peer = mPeers[aPeer];
  if (aNow - peer.lastAssignedAt > kAssignmentTimeout) {
    peer.assignmentsMade = peer.assignmentsSeen;
  }
  ++peer.assignmentsMade;
  peer.lastAssignedAt = aNow;
}

const PeerLoad*
PeerLoadTable::find(Config::Identity aPeer) const
{
  const auto it = mPeers.find(aPeer);
  const bool hasReported = it != mPeers.end() && it->second.incarnation != 0;
  return hasReported ? &it->second : nullptr;
}

void
PeerLoadTable::recordSuspension(Core::Duration aDuration)
{
  for (auto& [identity, peer] : mPeers) {
    peer.lastReportAt += aDuration;
  }
}

bool
PeerLoadTable::isResponsive(Config::Identity aPeer, Core::TimePoint aNow) const
{
  const auto* peer = find(aPeer);
  return peer != nullptr && aNow - peer->lastReportAt <= kReportTimeout;
}

Load
PeerLoadTable::estimate(const PeerLoad& aPeer, Core::TimePoint aNow) const
{
  auto load = aPeer.load;
  const bool isAssignmentRecent =
    aNow - aPeer.lastAssignedAt <= kAssignmentTimeout;
  if (isAssignmentRecent && aPeer.assignmentsMade > aPeer.assignmentsSeen) {
    const auto unseenAssignments =
      static_cast<std::uint32_t>(aPeer.assignmentsMade - aPeer.assignmentsSeen);
    load.slotsInUse += unseenAssignments;
    load.connectionsInUse += unseenAssignments;
  }
  return load;
}

} // namespace Ownership
