#pragma once

#include "flowworld/faketarget.h"
#include "flowworld/flowcaller.h"

#include "platform/datagramformat.h"
#include "steering/admissioncontroller.h"
#include "steering/flowsteerer.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace FlowWorld {

struct FlowWorldSettings
{
  std::size_t balancersPerZone = 2;
  /** Targets of each of the two services; zones are taken in turn. */
  std::size_t targets = 4;
  std::uint32_t slots = 4;
  unsigned seed = 1;
  /** Part of the packets that are lost. */
  double loss = 0;
};

/**
 * The real decisions of balancers and agents on the platform's packets, over a
 * manual clock: a fabric that sprays by a hash over the balancers in rotation,
 * callers and backend servers by the platform's flow rules. Everything follows
 * from the settings and the calls.
 */
class World
{
public:
  static constexpr std::size_t kZones = 2;

  explicit World(const FlowWorldSettings& aSettings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Core::TimePoint now() const { return mNow; }
  void advance(Core::Duration aTime);

  /** A caller of a zone asks a service; many requests use one flow. */
  FlowCaller& open(const std::string& aService,
                   std::size_t aZone,
                   std::size_t aRequests = 1,
                   Core::Duration aPause = std::chrono::milliseconds(500));

  std::vector<std::string> balancerNames() const;
  std::vector<std::string> targetNames() const;
  /** Ends a process at once; its memory is lost. */
  void killBalancer(const std::string& aName);
  void startBalancer(const std::string& aName, bool aHasMap = true);
  void killAgent(const std::string& aTarget);
  void startAgent(const std::string& aTarget);
  void killTarget(const std::string& aTarget);
  /** A new backend server with its agent; announced to all. */
  std::string addTarget(const std::string& aService);
  void drainTarget(const std::string& aTarget);
  void setWork(const std::string& aTarget, Core::Duration aWork);
  /** A process that stands still handles nothing and loses nothing. */
  void freeze(const std::string& aName) { mFrozen.insert(aName); }
  void thaw(const std::string& aName) { mFrozen.erase(aName); }
  /** Balancers that are held get no new map. */
  void holdMaps(const std::string& aBalancer) { mHeld.insert(aBalancer); }
  void releaseMaps(const std::string& aBalancer);
  /** The addresses of a dead target go to another service. */
  void reuseAddress(const std::string& aTarget, const std::string& aService);

  const std::vector<FlowRun>& runs() const { return mRuns; }
  const std::vector<std::unique_ptr<FlowCaller>>& callers() const
  {
    return mCallers;
  }
  const FakeTarget* target(const std::string& aName) const;
  bool isAlive(const std::string& aTarget) const;

  /** Questions for the owner of a flow that balancers sent so far. */
  std::size_t questions() const { return mQuestions; }

  /** A line for each promise that was broken so far. */
  std::vector<std::string> brokenPromises() const;

private:
  struct BalancerOutput;
  struct AgentPort;
  struct Balancer;
  struct Side;
  struct Parcel
  {
    Core::TimePoint at;
    std::uint64_t number;
    std::function<void()> deliver;
    bool operator>(const Parcel& aOther) const
    {
      return std::tie(at, number) > std::tie(aOther.at, aOther.number);
    }
  };

  void step();
  void post(std::size_t aFromZone,
            std::size_t aToZone,
            std::function<void()> aDeliver);
  void spray(std::size_t aZone, const Bytes& aPacket);
  void toAgent(const std::string& aFrom,
               const Core::Endpoint& aTo,
               const Bytes& aData);
  void toBalancer(const Core::Endpoint& aFrom,
                  const Core::Endpoint& aTo,
                  const Bytes& aData);
  void toTarget(const std::string& aSide, const Bytes& aPacket);
  void fromTarget(const std::string& aSide, const Bytes& aPacket);
  void toCaller(std::size_t aFromZone, const Bytes& aPacket, bool aIsOwnReset);
  void checkReset(const FlowCaller& aCaller);
  void publish();
  Steering::FleetMapPointer buildMap(const Steering::FleetMapPointer& aEarlier);
  void giveMap(Balancer& aBalancer);
  std::string newSide(const std::string& aService, Core::Endpoint aAgent);

  FlowWorldSettings mSettings;
  std::mt19937_64 mRandom;
  Telemetry::EventLog mEvents;
  Telemetry::HistogramSet mHistograms;
  Core::TimePoint mNow;
  std::uint64_t mParcelNumber = 0;
  std::uint64_t mRevision = 1;
  std::priority_queue<Parcel, std::vector<Parcel>, std::greater<>> mParcels;
  std::map<std::string, std::unique_ptr<Balancer>> mBalancers;
  std::map<std::string, std::unique_ptr<Side>> mSides;
  std::map<std::uint64_t, std::string> mSideNames;
  std::vector<std::unique_ptr<FlowCaller>> mCallers;
  std::map<Packet::FlowKey, std::pair<FlowCaller*, std::size_t>> mCallerOf;
  std::set<std::string> mFrozen;
  std::set<std::string> mHeld;
  std::vector<FlowRun> mRuns;
  std::map<std::string, std::string> mServiceOfRequest;
  std::vector<std::string> mBroken;
  std::size_t mQuestions = 0;
  std::uint32_t mNextAddress = 1;
  std::uint16_t mNextCaller = 1;
  std::uint32_t mNextRequest = 1;
};

} // namespace FlowWorld
