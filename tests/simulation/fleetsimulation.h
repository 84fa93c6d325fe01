#pragma once

#include "simulation/fakebackend.h"
#include "simulation/fleetbuilder.h"

#include "balancing/balancerengine.h"
#include "ownership/agentengine.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Simulation {

/** State of a flow as its caller sees it. */
struct CallerFlow
{
  std::string name;
  Packet::FlowKey key;
  /** Initial sequence number of the caller, plus the bytes sent so far. */
  std::uint32_t sequence = 1000;
  /** Initial sequence number of the backend server, from its SYN-ACK. */
  std::uint32_t backendSequence = 0;
  bool isEstablished = false;
  /** The caller was notified that its request did not run. */
  bool isRefused = false;
  /** The caller was notified that its request may have run. */
  bool isOutcomeUnknown = false;
  bool isReset = false;
  int answerCount = 0;
  std::set<std::string> answerTexts;
};

struct SimulationSettings
{
  FleetSettings fleet;
  unsigned seed = 1;
  Core::Duration linkDelay = std::chrono::milliseconds(1);
  /**
   * Exclusive upper bound of the random delay that is added to each packet
   * between processes.
   */
  Core::Duration jitter = std::chrono::milliseconds(0);
  /** Prints each packet that a process or a backend server receives. */
  bool isTraceEnabled = false;
};

/**
 * Deterministic simulation of a fleet. The production code of balancers and
 * agents runs on a simulated clock and network, with fake backend servers and
 * callers. The settings and the calls determine everything that happens.
 */
class FleetSimulation
{
public:
  explicit FleetSimulation(const SimulationSettings& aSettings);
  ~FleetSimulation();
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  Core::TimePoint now() const { return mNow; }
  /** Advances the clock and handles all due events in order. */
  void advance(Core::Duration aDuration);

  /** Sets whether callers of new flows belong to the fleet's only member. */
  void setCallersAreMembers(bool aAreMembers)
  {
    mCallersAreMembers = aAreMembers;
  }

  /**
   * Sends the first packet of a flow to the class at aPort. If aBalancer is
   * empty, this and the following functions pick a balancer at random.
   */
  void openFlow(const std::string& aName,
                std::uint16_t aPort,
                const std::string& aBalancer = "");
  /** Sends a request in an established TCP flow. */
  void sendRequest(const std::string& aName,
                   const std::string& aText,
                   const std::string& aBalancer = "");
  /** Sends the caller's last packet of the flow again. */
  void retransmit(const std::string& aName, const std::string& aBalancer = "");
  void closeFlow(const std::string& aName);
  /** The caller resets the flow. */
  void abortFlow(const std::string& aName);
  /** Adds aDelay to the link delay of the next packet from a caller. */
  void delayNextPacket(Core::Duration aDelay) { mNextPacketDelay = aDelay; }

  void kill(const std::string& aName);
  /** Replaces the process by a new one without any state. */
  void restart(const std::string& aName);
  /** Suspends the process; its socket keeps receiving datagrams. */
  void suspend(const std::string& aName);
  void resume(const std::string& aName);
  /** Drops all packets between two processes. */
  void cutLink(const std::string& aOne, const std::string& aOther);
  /** Cuts all links between the zone and the other zones. */
  void partitionZone(const std::string& aZone);
  void restoreLinks();
  void startDraining(const std::string& aTarget);
  /**
   * Withholds new views and confirmations of the current one from the process
   * until unblockViewUpdates() is called.
   */
  void blockViewUpdates(const std::string& aName)
  {
    mProcessesWithoutViewUpdates.insert(aName);
  }
  void unblockViewUpdates(const std::string& aName);
  /**
   * Publishes a new revision. Processes that are suspended or whose view
   * updates are blocked don't get it yet.
   */
  void promote(const std::function<void(FleetSettings&)>& aChange);
  void setWorkTime(const std::string& aTarget, Core::Duration aWorkTime);
  void setWorkTimeFunction(const std::string& aTarget,
                           FakeBackend::WorkTimeFunction aWorkTimeFunction);
  void setUnresponsive(const std::string& aTarget, bool aIsUnresponsive);

  const CallerFlow& flow(const std::string& aName) const;
  const std::vector<Run>& runs() const { return mRuns; }
  std::size_t runCount(const std::string& aRequest) const;
  /** Target of the flow's home agent in the newest view. */
  std::string homeTarget(const std::string& aFlow) const;
  /** Target that ran a request of the flow or has it open; empty if none. */
  std::string ownerTarget(const std::string& aFlow) const;
  std::vector<std::string> targetNames() const { return mFleet.targets; }
  bool isAlive(const std::string& aName) const;
  std::uint64_t counter(const std::string& aTarget,
                        Ownership::AgentCounter aCounter) const;
  Ownership::Load load(const std::string& aTarget) const;
  /** UDP flows that were refused in the last step. */
  const std::vector<std::string>& flowsRefusedInLastStep() const
  {
    return mFlowsRefusedInStep;
  }

  /** Describes each violation of an invariant that all simulations share. */
  std::vector<std::string> violations() const;

private:
  struct AgentOutput;
  struct BalancerOutput;
  struct AgentProcess;
  struct BalancerProcess;
  struct PacketInFlight;
  struct QueuedDatagram;

  void send(const std::string& aFrom,
            const Core::Endpoint& aTo,
            absl::Span<const std::uint8_t> aData);
  void deliver(const PacketInFlight& aPacket);
  void deliverBackendPackets(const std::string& aTarget);
  void deliverToCaller(absl::Span<const std::uint8_t> aPacket);
  void sendClosingPacket(const std::string& aName, std::uint8_t aFlags);
  void sendFromCaller(CallerFlow& aFlow,
                      const Packet::Bytes& aPacket,
                      const std::string& aBalancer);
  void startAgent(const std::string& aName);
  void startBalancer(const std::string& aName);
  void activateCurrentView(const std::string& aName);
  bool isLinkCut(const std::string& aOne, const std::string& aOther) const;
  void step();
  void trace(const std::string& aText) const;

  SimulationSettings mSettings;
  FleetSettings mFleet;
  Routing::FleetViewPointer mView;
  std::mt19937_64 mRandom;
  Core::TimePoint mNow;
  Telemetry::EventLog mEvents;
  Telemetry::HistogramSet mHistograms;
  Config::FlowHashKey mFlowHashKey{};
  std::map<std::string, std::unique_ptr<AgentProcess>> mAgents;
  std::map<std::string, std::unique_ptr<BalancerProcess>> mBalancers;
  std::map<std::string, std::unique_ptr<FakeBackend>> mBackends;
  std::map<Core::Endpoint, std::string> mNamesByEndpoint;
  std::vector<PacketInFlight> mPacketsInFlight;
  std::uint64_t mLastPacketNumber = 0;
  std::map<std::string, CallerFlow> mFlows;
  std::map<std::string, Packet::Bytes> mLastPackets;
  std::map<Packet::FlowKey, std::string> mFlowNamesByKey;
  std::vector<Run> mRuns;
  std::set<std::pair<std::string, std::string>> mCutLinks;
  std::set<std::string> mProcessesWithoutViewUpdates;
  Core::Duration mNextPacketDelay{ 0 };
  std::vector<std::string> mFlowsRefusedInStep;
  std::uint64_t mLastClaimer = 0;
  std::uint32_t mNextCallerNumber = 2000;
  bool mCallersAreMembers = true;
};

} // namespace Simulation
