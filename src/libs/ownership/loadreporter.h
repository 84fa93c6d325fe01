#pragma once

#include "ownership/agentcontext.h"
#include "ownership/ownerrole.h"
#include "ownership/tokenbucket.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace Ownership {

/**
 * Sends the load of this target to the homes that may assign flows to it.
 * A report is sent when the load changes, at a limited rate; without delay
 * when a full target has a free slot again; and as a heartbeat.
 */
template<AgentOutput Output>
class LoadReporter
{
public:
  explicit LoadReporter(AgentContext<Output>& aContext)
    : mContext(aContext)
  {
  }

  /** Finds the homes in the current view that have this target as a peer. */
  void updateReceivers()
  {
    mReceivers.clear();
    const auto& ownTarget = mContext.self.target;
    const auto* service = mContext.views.current()->serviceOfTarget(ownTarget);
    if (service == nullptr) {
      return;
    }
    const auto ownIndex = *service->indexOf(ownTarget);
    for (std::uint32_t homeIndex = 0; homeIndex < service->targets.size();
         ++homeIndex) {
      const auto peers = service->homeSelector.peers(homeIndex);
      if (std::find(peers.begin(), peers.end(), ownIndex) != peers.end()) {
        mReceivers.push_back(service->targets[homeIndex].target->identity);
      }
    }
  }

  /** Records the arrival of a flow that aHome assigned to this target. */
  void recordAssignment(Config::Identity aHome) { ++mAssignmentsSeen[aHome]; }

  void sendReportIfDue(const OwnerRole<Output>& aOwnerRole,
                       Core::TimePoint aNow)
  {
    const auto load = aOwnerRole.load(aNow);
    const bool hasChanged =
      load.slotsInUse != mReportedLoad.slotsInUse ||
      load.slots != mReportedLoad.slots ||
      load.connectionsInUse != mReportedLoad.connectionsInUse;
    const auto minInterval =
      hasChanged ? kMinReportInterval : kHeartbeatInterval;
    // Homes may have queued flows that wait for a free slot.
    const bool hasFreeSlotAgain =
      mReportedLoad.slotsInUse >= mReportedLoad.slots &&
      load.slotsInUse < load.slots;
    const auto elapsed = aNow - mLastReportAt;
    const bool isHeartbeatDue = elapsed >= kHeartbeatInterval;
    const bool isDue = hasFreeSlotAgain || elapsed >= minInterval;
    if (isHeartbeatDue ||
        (isDue && mBucket.isAvailable(totalReportBytes(), aNow))) {
      sendReport(aOwnerRole, aNow);
    }
  }

  void sendReport(const OwnerRole<Output>& aOwnerRole, Core::TimePoint aNow)
  {
    mBucket.consume(totalReportBytes(), aNow);
    mReportedLoad = aOwnerRole.load(aNow);
    mLastReportAt = aNow;
    Messages::PeerMessage message;
    auto& report = *message.mutable_load_report();
    report.set_target(mContext.self.target);
    report.set_incarnation(mContext.self.incarnation);
    report.set_revision(mContext.views.current()->revision());
    report.set_slots_in_use(mReportedLoad.slotsInUse);
    report.set_slots(mReportedLoad.slots);
    report.set_connections_in_use(mReportedLoad.connectionsInUse);
    report.set_connections(mReportedLoad.connections);
    report.set_leaving(!aOwnerRole.acceptsNewFlows(aNow));
    report.set_complete(mContext.hasFullHistory(aNow));
    report.set_sequence(++mSequence);
    for (const auto receiver : mReceivers) {
      report.set_assignments_seen(mAssignmentsSeen[receiver]);
      mContext.sendMessage(mContext.endpointOf(receiver), message);
      mContext.counters.increment(AgentCounter::LoadReportsSent);
    }
  }

private:
  static constexpr std::chrono::milliseconds kHeartbeatInterval{ 250 };
  static constexpr std::chrono::milliseconds kMinReportInterval{ 5 };
  /** Part of the 11 KB/s of control traffic that a node may send. */
  static constexpr double kMaxBytesPerSecond = 8'000;
  /** Approximate size of one report on the wire. */
  static constexpr double kReportBytes = 80;

  double totalReportBytes() const
  {
    return kReportBytes * static_cast<double>(mReceivers.size());
  }

  AgentContext<Output>& mContext;
  std::vector<Config::Identity> mReceivers;
  absl::flat_hash_map<Config::Identity, std::uint64_t> mAssignmentsSeen;
  Load mReportedLoad;
  Core::TimePoint mLastReportAt{};
  std::uint64_t mSequence = 0;
  TokenBucket mBucket{ kMaxBytesPerSecond };
};

} // namespace Ownership
