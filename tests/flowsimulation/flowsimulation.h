#pragma once

#include "flowsimulation/deliverycheck.h"
#include "flowsimulation/faketarget.h"
#include "flowsimulation/flowcaller.h"

#include "standins/storelog.h"

#include "platform/datagramformat.h"
#include "steering/admissioncontroller.h"
#include "steering/flowsteerer.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace FlowTesting {

struct FlowSimulationSettings
{
  std::size_t balancersPerZone = 2;
  /** Spread over the zones. There are two services. */
  std::size_t targetsPerService = 4;
  std::uint32_t slots = 4;
  unsigned seed = 1;
  /** Probability that a packet between a balancer and an agent is lost. */
  double loss = 0;
  /** Rate of a narrow link, in each direction; 0 is unlimited. */
  std::uint64_t narrowLinkBytesPerSecond = 0;
  /** Number of balancers in each zone, from the first, with a narrow link. */
  std::size_t narrowBalancersPerZone = 0;
  /**
   * Whether the fabric removes balancers from rotation by probing their
   * readiness, instead of knowing which ones run. If less than half of a zone's
   * balancers are in rotation, it uses all of them, even those that do not run.
   */
  bool probesReadiness = false;
  /** The platform's type of the routes; it decides on the flow type. */
  std::string routeType = "idempotent";
  /**
   * A cold target may get this many requests in any one second; 0 if they are
   * not limited.
   */
  std::size_t coldRequestsPerSecond = 0;
  /** How long a target is cold after restartTarget() or addTarget(). */
  std::chrono::milliseconds warmupTime{ 0 };
  /** Whether all targets have just started. */
  bool isFleetCold = false;
};

/**
 * Deterministic simulation of a fleet in one process and on a manual clock. It
 * runs the production logic of balancers and agents on the platform's packets;
 * the network, the fabric, the callers and the backend servers are simulated.
 * The fabric selects among the balancers of a zone by the flow's hash.
 */
class FlowSimulation
{
public:
  static constexpr std::size_t kZoneCount = 2;

  explicit FlowSimulation(const FlowSimulationSettings& aSettings);
  ~FlowSimulation();
  FlowSimulation(const FlowSimulation&) = delete;
  FlowSimulation& operator=(const FlowSimulation&) = delete;

  Core::TimePoint now() const { return mNow; }
  void advance(Core::Duration aDuration);

  /**
   * Opens a flow from a zone to a service and sends all requests on it, each
   * with at least aRequestBytes of payload.
   */
  FlowCaller& openFlow(const std::string& aService,
                       std::size_t aZone,
                       std::size_t aRequestCount = 1,
                       Core::Duration aPause = std::chrono::milliseconds(500),
                       std::size_t aRequestBytes = 0);

  std::vector<std::string> balancerNames() const;
  std::vector<std::string> targetNames() const;
  /** Ends the process at once; its state is lost. */
  void killBalancer(const std::string& aName);
  void startBalancer(const std::string& aName, bool aHasMap = true);
  /**
   * Requests a balancer to stop. It is not ready any more, forwards until no
   * packet arrives, and is started again. No effect if it does not run. The
   * fabric has to probe the readiness.
   */
  void terminateBalancer(const std::string& aName);
  /** Terminates the balancers one after the other, from now on. */
  void terminateInSeries(const std::vector<std::string>& aNames,
                         Core::Duration aGap);
  void killAgent(const std::string& aTarget);
  void startAgent(const std::string& aTarget);
  /**
   * Ends a backend server and removes its target from the fleet map. The agent
   * continues to run.
   */
  void killTarget(const std::string& aTarget);
  /**
   * Ends a backend server and starts it again, cold, with a new announcement.
   * The agent continues to run.
   */
  void restartTarget(const std::string& aTarget);
  /** Adds a backend server with its agent to the fleet map. */
  std::string addTarget(const std::string& aService);
  void drainTarget(const std::string& aTarget);
  void setProcessingTime(const std::string& aTarget,
                         Core::Duration aProcessingTime);
  /** The backend server resets the flow of each request from now on, or not. */
  void setResetting(const std::string& aTarget, bool aIsResetting);
  /**
   * Suspends a balancer, or the agent of a target; it keeps its state. Packets
   * to it are lost, except those from the fabric to a balancer: the fabric
   * retries them.
   */
  void suspend(const std::string& aName) { mSuspended.insert(aName); }
  void resume(const std::string& aName);
  /** The balancer keeps its current fleet map until updates are resumed. */
  void pauseMapUpdates(const std::string& aBalancer)
  {
    mMapUpdatesPaused.insert(aBalancer);
  }
  void resumeMapUpdates(const std::string& aBalancer);
  /**
   * Restores the store from a copy that lacks the last changes. Living targets
   * and the operator write theirs again within two seconds.
   */
  void restoreStore(std::size_t aLostChanges);
  /** All announcements expire and are created again; the targets live on. */
  void announceAgain();
  /** Writes or removes the evacuation of a zone in the store. */
  void setEvacuated(std::size_t aZone, bool aIsEvacuated);
  bool isEvacuated(std::size_t aZone) const
  {
    return mEvacuations[aZone].isEvacuated;
  }
  /** Publishes a new version of the configuration. */
  void promoteConfiguration();
  /**
   * Publishes a configuration that distributes the new flows of a service's
   * route evenly over aShares.
   */
  void setShares(const std::string& aService,
                 const std::vector<std::string>& aShares);
  /**
   * Publishes a configuration without a service. No route may name it; its
   * targets continue to run.
   */
  void removeService(const std::string& aService);
  /** Ends a target and its agent; a new target of aService gets the address. */
  void reuseAddress(const std::string& aTarget, const std::string& aService);

  const std::vector<RequestRun>& runs() const { return mRuns; }
  const std::vector<std::unique_ptr<FlowCaller>>& callers() const
  {
    return mCallers;
  }
  const FakeTarget* target(const std::string& aName) const;
  bool isRunning(const std::string& aTarget) const;

  /** Number of owner queries that balancers sent so far. */
  std::size_t ownerQueryCount() const { return mOwnerQueryCount; }
  /** Number of probes that balancers sent to suspected agents so far. */
  std::size_t probeCount() const { return mProbeCount; }
  /** Sum of a counter over all balancers, including those that have ended. */
  std::uint64_t counterSum(Steering::SteeringCounter aCounter) const;
  /** Bytes that a balancer sent and received so far, including headers. */
  std::uint64_t bytesSent(const std::string& aBalancer) const;
  std::uint64_t bytesReceived(const std::string& aBalancer) const;
  /** The part of the received bytes that came from callers. */
  std::uint64_t bytesFromCallers(const std::string& aBalancer) const;
  /** The longest time that a packet of a balancer has waited for its link. */
  Core::Duration peakSendTime(const std::string& aBalancer) const;

  /** One line per invariant violated so far. */
  std::vector<std::string> violations() const;

private:
  struct BalancerOutput;
  struct AgentOutput;
  struct Balancer;
  struct TargetNode;
  struct Delivery
  {
    Core::TimePoint at;
    /** Orders the deliveries that are due at the same time. */
    std::uint64_t number;
    std::function<void()> deliver;
    bool operator>(const Delivery& aOther) const
    {
      return std::tie(at, number) > std::tie(aOther.at, aOther.number);
    }
  };

  void step();
  void sendCallerPackets();
  void scheduleDelivery(Core::TimePoint aSentAt,
                        std::size_t aFromZone,
                        std::size_t aToZone,
                        std::function<void()> aDeliver);
  /** Lets a packet pass the balancer's incoming link. */
  void receive(Balancer& aBalancer,
               std::size_t aBytes,
               std::function<void()> aHandle);
  /** The balancers among which the fabric selects. */
  std::vector<Balancer*> selectableBalancers(std::size_t aZone) const;
  void probeReadiness();
  void updateStoppingBalancers();
  void forwardToBalancer(std::size_t aZone, const Bytes& aPacket);
  void handleCallerPacket(Balancer& aBalancer, const Bytes& aPacket);
  void transmitToAgent(const std::string& aFrom,
                       const Core::Endpoint& aTo,
                       const Bytes& aData);
  void transmitToBalancer(const Core::Endpoint& aFrom,
                          const Core::Endpoint& aTo,
                          const Bytes& aData);
  void transmitToTarget(const std::string& aTarget, const Bytes& aPacket);
  void transmitFromTarget(const std::string& aTarget, const Bytes& aPacket);
  void transmitToCaller(Core::TimePoint aSentAt,
                        const Bytes& aPacket,
                        bool aIsFromBalancer);
  std::chrono::milliseconds sinceStart() const;
  void checkBalancerReset(const FlowCaller& aCaller);
  /** Writes what has changed about a target to the store. */
  void announce(TargetNode& aNode);
  void startBackend(TargetNode& aNode, bool aIsCold);
  void writeConfiguration();
  void publishMap();
  /** Lets the balancer follow the store. */
  void sendMap(Balancer& aBalancer);
  /** Decodes the balancer's snapshot. */
  void setMap(Balancer& aBalancer);
  /** Learns from the other balancers what a restored store may lack. */
  void mergeFromPeers(Balancer& aBalancer);
  /** Learns from the other balancers which services routes named before. */
  void mergeHistoryFromPeers(Balancer& aBalancer);
  void expireKeptEntries();
  void checkDrain(const TargetNode& aNode, const Bytes& aPacket);
  void writeEvacuation(std::size_t aZone);
  /** The error that a balancer reports for an evacuated zone without targets.
   */
  bool isEmptyZoneError(const std::string& aError) const;
  /** Whether the store or a running balancer has the evacuation. */
  bool isEvacuationKnown(std::size_t aZone) const;
  void checkEvacuation(const TargetNode& aNode, const Bytes& aPacket);
  void checkDelivery(const TargetNode& aNode, const Packet::FlowKey& aFlow);
  std::string createTarget(const std::string& aService, Core::Endpoint aAgent);

  FlowSimulationSettings mSettings;
  std::mt19937_64 mRandom;
  Telemetry::EventLog mEvents;
  Telemetry::HistogramSet mHistograms;
  Core::TimePoint mNow;
  std::uint64_t mDeliveryNumber = 0;
  Standins::StoreLog mStore;
  /** What the operator wants for a zone. */
  struct Evacuation
  {
    bool isEvacuated = false;
    /**
     * When the store acknowledged the last change. If a restored store lacks it
     * and no balancer that knows of it runs, it has no effect until the
     * operator has written it again.
     */
    Core::TimePoint changedAt{};
  };

  std::uint64_t mConfigurationVersion = 1;
  /** The services of the configuration. */
  std::vector<std::string> mServices;
  /** The services that the route of a service names. */
  std::map<std::string, std::vector<std::string>> mShares;
  /** The services that the routes have named so far. */
  std::map<Core::Endpoint, std::set<std::string>> mServicesOfRoutes;
  std::array<Evacuation, kZoneCount> mEvacuations{};
  /** When a process last ran with an old map, or not at all. */
  Core::TimePoint mLastUnevenAt{};
  std::priority_queue<Delivery, std::vector<Delivery>, std::greater<>>
    mDeliveries;
  std::map<std::string, std::unique_ptr<Balancer>> mBalancers;
  std::map<std::string, std::unique_ptr<TargetNode>> mTargetNodes;
  std::map<std::uint64_t, std::string> mTargetNameByAgent;
  std::vector<std::unique_ptr<FlowCaller>> mCallers;
  /** The caller of a flow and its zone. */
  std::map<Packet::FlowKey, std::pair<FlowCaller*, std::size_t>> mCallerByFlow;
  /** Those that may still send packets. */
  std::map<Packet::FlowKey, std::pair<FlowCaller*, std::size_t>> mActiveCallers;
  std::set<std::string> mSuspended;
  std::set<std::string> mMapUpdatesPaused;
  std::vector<RequestRun> mRuns;
  std::map<std::string, Core::Endpoint> mRouteByRequest;
  std::vector<std::string> mViolations;
  /** The targets of open flows. */
  std::map<Packet::FlowKey, const TargetNode*> mOwners;
  DeliveryCheck mDeliveryCheck;
  std::size_t mOwnerQueryCount = 0;
  std::size_t mProbeCount = 0;
  /** Sums over the balancers that have ended. */
  std::array<std::uint64_t, Steering::SteeringCounters::kSize> mEndedCounters{};
  std::uint32_t mNextAddress = 1;
  std::uint16_t mNextCallerPort = 1;
  std::uint32_t mNextRequest = 1;
};

} // namespace FlowTesting
