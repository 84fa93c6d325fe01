#pragma once

#include "flowsimulation/packetwriter.h"

#include "core/clock.h"
#include "platform/datagram.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace FlowTesting {

/** A request that a backend server ran. */
struct RequestRun
{
  std::string service;
  std::string target;
  std::string request;
};

/**
 * A backend server that follows the platform's flow rules: it answers each SYN,
 * runs the payload of an open flow as one request when a slot is free, and
 * returns packets of flows that it does not own.
 */
class FakeTarget
{
public:
  FakeTarget(std::string aService,
             std::string aName,
             std::uint32_t aSlots,
             std::uint32_t aFirstFlowNumber,
             std::vector<RequestRun>& aRuns);

  /** Returns the immediate replies, which go to the agent. */
  std::vector<Bytes> handlePacket(const Bytes& aPacket, Core::TimePoint aNow);
  /** Returns new answers and due retransmissions of unacknowledged ones. */
  std::vector<Bytes> takeDuePackets(Core::TimePoint aNow);

  bool ownsFlow(const Packet::FlowKey& aFlow) const;
  /** Whether it owns the flow or has answered its SYN. */
  bool knowsFlow(const Packet::FlowKey& aFlow) const
  {
    return mFlows.contains(aFlow);
  }
  void setProcessingTime(Core::Duration aProcessingTime)
  {
    mProcessingTime = aProcessingTime;
  }
  /** Whether it resets the flow of each request that it gets. */
  void setResetting(bool aIsResetting) { mIsResetting = aIsResetting; }
  /**
   * The backend server is cold until aUntil: it is slower, and records whether
   * it gets more than aLimit requests in any one second.
   */
  void startCold(std::size_t aLimit, Core::TimePoint aUntil)
  {
    mColdLimit = aLimit;
    mColdUntil = aUntil;
  }
  bool isSlowStartLimitExceeded() const { return mIsSlowStartLimitExceeded; }
  /** Requests that arrived so far. */
  std::size_t requestCount() const { return mRequestCount; }
  /** Highest number of running and queued requests so far. */
  std::size_t peakJobCount() const { return mPeakJobCount; }

private:
  struct Flow
  {
    /** Sequence number of the SYN-ACK; 0 before the first one. */
    std::uint32_t sequence = 0;
    bool isOpen = false;
    /** Next expected sequence number of the caller. */
    std::uint32_t expectedSequence = 1;
    /** The answer that the caller has not acknowledged yet. */
    std::optional<Bytes> answer;
    Core::TimePoint retransmitAt{};
    Core::Duration retransmitDelay{};
  };
  /** A request that waits for a slot or is being processed. */
  struct Job
  {
    Packet::FlowKey flow;
    std::string request;
    Core::TimePoint doneAt{};
  };

  std::vector<Bytes> handleFlowPacket(Flow& aFlow,
                                      const Platform::Datagram& aPacket,
                                      const Bytes& aBytes,
                                      Core::TimePoint aNow);
  void recordRequest(Core::TimePoint aNow);
  void startJobs(Core::TimePoint aNow);
  void finishJob(const Job& aJob, Core::TimePoint aNow);

  std::string mService;
  std::string mName;
  std::uint32_t mSlots;
  /**
   * Number of the latest flow. The sequence numbers of a flow start at 1,000
   * times its number, so they differ between flows and between targets.
   */
  std::uint32_t mFlowNumber;
  std::vector<RequestRun>& mRuns;
  Core::Duration mProcessingTime = std::chrono::milliseconds(30);
  bool mIsResetting = false;
  std::map<Packet::FlowKey, Flow> mFlows;
  std::deque<Job> mQueuedJobs;
  std::vector<Job> mRunningJobs;
  std::size_t mPeakJobCount = 0;
  std::size_t mRequestCount = 0;
  std::size_t mColdLimit = 0;
  Core::TimePoint mColdUntil{};
  /** Arrival times of the requests of the last second. */
  std::deque<Core::TimePoint> mArrivals;
  bool mIsSlowStartLimitExceeded = false;
};

} // namespace FlowTesting
