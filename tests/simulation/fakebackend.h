#pragma once

#include "core/clock.h"
#include "packet/packetbuilder.h"
#include "packet/packetview.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Simulation {

/** A request that a backend server ran. */
struct Run
{
  std::string target;
  std::string request;
  Packet::FlowKey flow;
  Core::TimePoint startedAt;
};

/**
 * A backend server that runs each payload as one request and sends it back as
 * the answer after the request's work time. It keeps running while its agent
 * restarts.
 */
class FakeBackend
{
public:
  FakeBackend(std::string aTarget, std::vector<Run>& aRuns);

  /** Returns the work time of a request. */
  using WorkTimeFunction =
    std::function<Core::Duration(const std::string& aRequest)>;

  void setWorkTime(Core::Duration aWorkTime) { mWorkTime = aWorkTime; }
  void setWorkTimeFunction(WorkTimeFunction aWorkTimeFunction)
  {
    mWorkTimeFunction = std::move(aWorkTimeFunction);
  }
  /** An unresponsive server ignores all packets. */
  void setUnresponsive(bool aIsUnresponsive)
  {
    mIsUnresponsive = aIsUnresponsive;
  }

  void handlePacket(absl::Span<const std::uint8_t> aData, Core::TimePoint aNow);
  /** Removes and returns the packets that are due for the agent. */
  std::vector<Packet::Bytes> takeDuePackets(Core::TimePoint aNow);
  std::vector<Packet::FlowKey> openFlows() const;

private:
  struct QueuedPacket
  {
    Core::TimePoint dueAt;
    Packet::Bytes packet;
  };
  struct Connection
  {
    std::uint32_t initialSequence = 0;
    std::uint32_t expectedSequence = 0;
  };

  Core::Duration workTime(const std::string& aRequest) const;
  void handleTcpPacket(const Packet::PacketView& aPacket, Core::TimePoint aNow);
  void queueUdpPacket(const Packet::FlowKey& aFlow,
                      const std::string& aText,
                      Core::TimePoint aDueAt);
  void queueTcpPacket(const Packet::FlowKey& aFlow,
                      std::uint8_t aFlags,
                      const std::string& aText,
                      Core::TimePoint aDueAt);

  std::string mTarget;
  std::vector<Run>& mRuns;
  Core::Duration mWorkTime = std::chrono::milliseconds(20);
  WorkTimeFunction mWorkTimeFunction;
  bool mIsUnresponsive = false;
  std::uint32_t mLastInitialSequence;
  std::map<Packet::FlowKey, Connection> mConnections;
  std::vector<QueuedPacket> mQueuedPackets;
};

} // namespace Simulation
