#pragma once

#include "world/fakebackend.h"
#include "world/fleetbuilder.h"

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

namespace World {

/** How the caller of one flow sees it. */
struct CallerFlow
{
  std::string name;
  Packet::FlowKey key;
  std::uint32_t sequence = 1000;
  /** First sequence number of the backend server, once it answered. */
  std::uint32_t peerSequence = 0;
  bool isEstablished = false;
  /** Refused as not run. */
  bool isRefused = false;
  bool isUnknown = false;
  bool isReset = false;
  int answers = 0;
  std::set<std::string> answerTexts;
};

struct WorldSettings
{
  FleetShape shape;
  unsigned seed = 1;
  Core::Duration linkDelay = std::chrono::milliseconds(1);
  /** Added at random to every packet. */
  Core::Duration jitter = std::chrono::milliseconds(0);
  /** Prints every packet between processes. */
  bool isTraced = false;
};

/**
 * The real decisions of balancers and agents over fakes: a manual clock, a
 * list of packets on the way, backend servers and callers. Everything that
 * happens follows from the settings and the calls.
 */
class World
{
public:
  explicit World(const WorldSettings& aSettings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Core::TimePoint now() const { return mNow; }
  /** Lets time pass; everything due happens in its order. */
  void advance(Core::Duration aTime);

  /** Flows opened from now on come from a member, or from nobody's caller. */
  void setCallersAreMembers(bool aAreMembers) { mAreMembers = aAreMembers; }

  /** Sends the first packet of a flow to the class at aPort. */
  void openFlow(const std::string& aName,
                std::uint16_t aPort,
                const std::string& aBalancer = "");
  /** Sends a request in an established TCP flow. */
  void say(const std::string& aName,
           const std::string& aText,
           const std::string& aBalancer = "");
  /** Sends the last packet of the flow again. */
  void repeat(const std::string& aName, const std::string& aBalancer = "");
  void closeFlow(const std::string& aName);
  /** The caller resets the flow. */
  void abortFlow(const std::string& aName);
  /** The next packet of a caller comes so much later. */
  void delayNext(Core::Duration aTime) { mNextDelay = aTime; }

  void kill(const std::string& aName);
  /** A new process in the place of the old one; its memory is empty. */
  void restart(const std::string& aName);
  void pause(const std::string& aName);
  void resume(const std::string& aName);
  void cut(const std::string& aOne, const std::string& aOther);
  void cutZone(const std::string& aZone);
  void heal();
  void startDraining(const std::string& aTarget);
  /** A process that is held gets no new view until it is released. */
  void hold(const std::string& aName) { mHeld.insert(aName); }
  void release(const std::string& aName);
  /** Puts a new revision in force on every process that is not held. */
  void promote(const std::function<void(FleetShape&)>& aChange);
  void setWork(const std::string& aTarget, Core::Duration aWork);
  void setWorkOf(const std::string& aTarget, FakeBackend::WorkOf aWorkOf);
  void setDeaf(const std::string& aTarget, bool aIsDeaf);

  const CallerFlow& flow(const std::string& aName) const;
  const std::vector<Run>& runs() const { return mRuns; }
  std::size_t runsOf(const std::string& aRequest) const;
  /** The home of the flow in the newest view. */
  std::string homeOf(const std::string& aFlow) const;
  /** The target that ran or holds the flow; empty for none. */
  std::string ownerOf(const std::string& aFlow) const;
  std::vector<std::string> targetNames() const { return mShape.targets; }
  bool isAlive(const std::string& aName) const;
  std::uint64_t counter(const std::string& aTarget,
                        Ownership::AgentCounter aCounter) const;
  Ownership::Load load(const std::string& aTarget) const;
  /** Flows that were refused in the last step. */
  const std::vector<std::string>& refusedInLastStep() const
  {
    return mRefusedInStep;
  }

  /**
   * The promises that hold in every world: a line for each that is broken.
   */
  std::vector<std::string> brokenPromises() const;

private:
  struct AgentPort;
  struct BalancerOutput;
  struct AgentProcess;
  struct BalancerProcess;
  struct Parcel;
  struct Waiting;

  void send(const std::string& aFrom,
            const Core::Endpoint& aTo,
            absl::Span<const std::uint8_t> aData);
  void deliver(const Parcel& aParcel);
  void takeFromBackend(const std::string& aTarget);
  void toCaller(absl::Span<const std::uint8_t> aPacket);
  void sendEnd(const std::string& aName, std::uint8_t aFlags);
  void sendFromCaller(CallerFlow& aFlow,
                      const Packet::Bytes& aPacket,
                      const std::string& aBalancer);
  void startAgent(const std::string& aName);
  void startBalancer(const std::string& aName);
  void giveView(const std::string& aName);
  bool isCut(const std::string& aOne, const std::string& aOther) const;
  void step();
  void trace(const std::string& aText) const;

  WorldSettings mSettings;
  FleetShape mShape;
  Routing::FleetViewPointer mView;
  std::mt19937_64 mRandom;
  Core::TimePoint mNow;
  Telemetry::EventLog mEvents;
  Telemetry::HistogramSet mHistograms;
  Config::FlowHashKey mKey{};
  std::map<std::string, std::unique_ptr<AgentProcess>> mAgents;
  std::map<std::string, std::unique_ptr<BalancerProcess>> mBalancers;
  std::map<std::string, std::unique_ptr<FakeBackend>> mBackends;
  std::map<Core::Endpoint, std::string> mNames;
  std::vector<Parcel> mParcels;
  std::uint64_t mParcelNumber = 0;
  std::map<std::string, CallerFlow> mFlows;
  std::map<std::string, Packet::Bytes> mLastPacket;
  std::map<Packet::FlowKey, std::string> mFlowNames;
  std::vector<Run> mRuns;
  std::set<std::pair<std::string, std::string>> mCuts;
  std::set<std::string> mHeld;
  Core::Duration mNextDelay{ 0 };
  std::vector<std::string> mRefusedInStep;
  std::uint64_t mClaimers = 0;
  std::uint32_t mNextCaller = 2000;
  bool mAreMembers = true;
};

} // namespace World
