#pragma once

#include "flowworld/packetwriter.h"

#include "core/clock.h"
#include "platform/datagram.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace FlowWorld {

/** One request that a backend server ran. */
struct FlowRun
{
  std::string service;
  std::string target;
  std::string request;
};

/**
 * A backend server by the platform's flow rules: it answers each opening, runs
 * the data of an open flow as one request when a slot is free, and hands back
 * what it does not hold.
 */
class FakeTarget
{
public:
  FakeTarget(std::string aService,
             std::string aName,
             std::uint32_t aSlots,
             std::uint32_t aFirstSequence,
             std::vector<FlowRun>& aRuns);

  /** Packets to the agent that follow at once. */
  std::vector<Bytes> handlePacket(const Bytes& aPacket, Core::TimePoint aNow);
  /** Packets that are due: answers, and copies that were not acknowledged. */
  std::vector<Bytes> takeDue(Core::TimePoint aNow);

  bool holds(const Packet::FlowKey& aFlow) const;
  void setWork(Core::Duration aWork) { mWork = aWork; }
  std::size_t mostRunning() const { return mMostRunning; }

private:
  struct Flow
  {
    std::uint32_t sequence = 0;
    bool isOpen = false;
    /** Caller's sequence number that is expected next. */
    std::uint32_t expected = 1;
    /** The answer that the caller has not acknowledged. */
    std::optional<Bytes> answer;
    Core::TimePoint resendAt{};
    Core::Duration resendAfter{};
  };
  struct Job
  {
    Packet::FlowKey flow;
    std::string request;
    Core::TimePoint doneAt{};
  };

  std::vector<Bytes> handleHeld(Flow& aFlow,
                                const Platform::Datagram& aPacket,
                                const Bytes& aBytes,
                                Core::TimePoint aNow);
  void startJobs(Core::TimePoint aNow);
  void finishJob(const Job& aJob, Core::TimePoint aNow);

  std::string mService;
  std::string mName;
  std::uint32_t mSlots;
  std::uint32_t mNextSequence;
  std::vector<FlowRun>& mRuns;
  Core::Duration mWork = std::chrono::milliseconds(30);
  std::map<Packet::FlowKey, Flow> mFlows;
  std::deque<Job> mWaiting;
  std::vector<Job> mRunning;
  std::size_t mMostRunning = 0;
};

} // namespace FlowWorld
