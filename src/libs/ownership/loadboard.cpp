#include "ownership/loadboard.h"

#include "messages/peermessages.pb.h"

#include <chrono>
#include <utility>

namespace Ownership {

namespace {

/** Four heartbeats; a peer that is silent for longer gets no new flow. */
constexpr std::chrono::milliseconds kSilenceLimit{ 1'000 };
/** An assignment that no report shows after this was lost. */
constexpr std::chrono::milliseconds kAssignmentLost{ 300 };

} // namespace

void
LoadBoard::report(const Messages::LoadReport& aReport, Core::TimePoint aNow)
{
  auto& peer = mPeers[aReport.target()];
  const bool isRestart = aReport.incarnation() != peer.incarnation;
  // A replaced machine's clock may be behind, so that a life which went
  // silent gives way to any other.
  const bool isOlderLife = aReport.incarnation() < peer.incarnation &&
                           aNow - peer.heardAt <= kSilenceLimit;
  const bool isRepeated = !isRestart && aReport.sequence() <= peer.sequence;
  if (isOlderLife || isRepeated) {
    return;
  }
  if (isRestart) {
    peer.assigned = aReport.assignments_seen();
  }
  peer.load = { aReport.slots_in_use(),
                aReport.slots(),
                aReport.connections_in_use(),
                aReport.connections() };
  peer.isLeaving = aReport.leaving();
  peer.isComplete = aReport.complete();
  peer.revision = aReport.revision();
  peer.incarnation = aReport.incarnation();
  peer.sequence = aReport.sequence();
  peer.assignmentsSeen = aReport.assignments_seen();
  peer.heardAt = aNow;
}

void
LoadBoard::noteAssigned(Config::Identity aPeer, Core::TimePoint aNow)
{
  auto& peer = mPeers[aPeer];
  if (aNow - peer.assignedAt > kAssignmentLost) {
    peer.assigned = peer.assignmentsSeen;
  }
  ++peer.assigned;
  peer.assignedAt = aNow;
}

const PeerLoad*
LoadBoard::find(Config::Identity aPeer) const
{
  const auto it = mPeers.find(aPeer);
  const bool known = it != mPeers.end() && it->second.incarnation != 0;
  return known ? &it->second : nullptr;
}

void
LoadBoard::noteSleep(Core::Duration aTime)
{
  for (auto& [identity, peer] : mPeers) {
    peer.heardAt += aTime;
  }
}

bool
LoadBoard::isAlive(Config::Identity aPeer, Core::TimePoint aNow) const
{
  const auto* peer = find(aPeer);
  return peer != nullptr && aNow - peer->heardAt <= kSilenceLimit;
}

Load
LoadBoard::estimate(const PeerLoad& aPeer, Core::TimePoint aNow) const
{
  auto load = aPeer.load;
  const bool isRecent = aNow - aPeer.assignedAt <= kAssignmentLost;
  if (isRecent && aPeer.assigned > aPeer.assignmentsSeen) {
    const auto n =
      static_cast<std::uint32_t>(aPeer.assigned - aPeer.assignmentsSeen);
    load.slotsInUse += n;
    load.connectionsInUse += n;
  }
  return load;
}

} // namespace Ownership
