#pragma once

#include "ownership/agentcontext.h"
#include "ownership/bytebudget.h"
#include "ownership/ownerside.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace Ownership {

/**
 * Sends the load of this target to the homes that may choose it: when it
 * changes, at once when a full target has room again, and as a heartbeat.
 */
template<AgentPort Port>
class LoadReporter
{
public:
  explicit LoadReporter(AgentContext<Port>& aContext)
    : mContext(aContext)
  {
  }

  /** Finds the homes in the view in force that follow this target. */
  void findWatchers()
  {
    mWatchers.clear();
    const auto& self = mContext.self.target;
    const auto* service = mContext.views.current()->serviceOfTarget(self);
    if (service == nullptr) {
      return;
    }
    const auto index = *service->indexOf(self);
    for (std::uint32_t home = 0; home < service->targets.size(); ++home) {
      const auto peers = service->ring.peers(home);
      if (std::find(peers.begin(), peers.end(), index) != peers.end()) {
        mWatchers.push_back(service->targets[home].target->identity);
      }
    }
  }

  /** A flow came that this home assigned. */
  void noteAssignment(Config::Identity aHome) { ++mAssignmentsSeen[aHome]; }

  void reportIfDue(const OwnerSide<Port>& aOwnerSide, Core::TimePoint aNow)
  {
    const auto load = aOwnerSide.load(aNow);
    const bool hasChanged = load.slotsInUse != mReported.slotsInUse ||
                            load.slots != mReported.slots ||
                            load.connectionsInUse != mReported.connectionsInUse;
    const auto spacing = hasChanged ? kReportSpacing : kHeartbeatInterval;
    // Homes may have flows waiting for the first free slot.
    const bool isRoomAgain =
      mReported.slotsInUse >= mReported.slots && load.slotsInUse < load.slots;
    const auto elapsed = aNow - mReportedAt;
    const bool isHeartbeat = elapsed >= kHeartbeatInterval;
    const bool isDue = isRoomAgain || elapsed >= spacing;
    if (isHeartbeat || (isDue && mBudget.has(reportBytes(), aNow))) {
      report(aOwnerSide, aNow);
    }
  }

  void report(const OwnerSide<Port>& aOwnerSide, Core::TimePoint aNow)
  {
    mBudget.take(reportBytes(), aNow);
    mReported = aOwnerSide.load(aNow);
    mReportedAt = aNow;
    Messages::PeerMessage message;
    auto& report = *message.mutable_load_report();
    report.set_target(mContext.self.target);
    report.set_incarnation(mContext.self.incarnation);
    report.set_revision(mContext.views.current()->revision());
    report.set_slots_in_use(mReported.slotsInUse);
    report.set_slots(mReported.slots);
    report.set_connections_in_use(mReported.connectionsInUse);
    report.set_connections(mReported.connections);
    report.set_leaving(!aOwnerSide.takesNewFlows(aNow));
    report.set_complete(mContext.isComplete(aNow));
    report.set_sequence(++mSequence);
    for (const auto watcher : mWatchers) {
      report.set_assignments_seen(mAssignmentsSeen[watcher]);
      mContext.sendMessage(mContext.endpointOf(watcher), message);
      mContext.counters.increment(AgentCounter::LoadReportsSent);
    }
  }

private:
  static constexpr std::chrono::milliseconds kHeartbeatInterval{ 250 };
  static constexpr std::chrono::milliseconds kReportSpacing{ 5 };
  /** Part of a node's 11 KB/s of control traffic. */
  static constexpr double kBytesPerSecond = 8'000;
  /** Bytes of one report on the wire, about. */
  static constexpr double kReportBytes = 80;

  double reportBytes() const
  {
    return kReportBytes * static_cast<double>(mWatchers.size());
  }

  AgentContext<Port>& mContext;
  std::vector<Config::Identity> mWatchers;
  absl::flat_hash_map<Config::Identity, std::uint64_t> mAssignmentsSeen;
  Load mReported;
  Core::TimePoint mReportedAt{};
  std::uint64_t mSequence = 0;
  ByteBudget mBudget{ kBytesPerSecond };
};

} // namespace Ownership
