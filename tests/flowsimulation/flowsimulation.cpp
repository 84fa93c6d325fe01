#include "flowsimulation/flowsimulation.h"

#include "flowsimulation/readinessprobe.h"
#include "flowsimulation/simulatedlink.h"

#include "platform/announcement.h"
#include "platform/mapdecoder.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace FlowTesting {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kTimeStep{ 1 };
constexpr std::chrono::microseconds kInZoneLatency{ 200 };
constexpr std::chrono::microseconds kCrossZoneLatency{ 4'500 };
constexpr std::chrono::milliseconds kCallerLatency{ 2 };
/** Interval at which the fabric retries a packet to a suspended balancer. */
constexpr std::chrono::milliseconds kSuspendedRetryInterval{ 20 };
/** A stopping balancer ends after this time without a packet of a caller. */
constexpr std::chrono::milliseconds kStopQuietTime{ 1'200 };
constexpr std::chrono::milliseconds kMaxStopTime{ 4'800 };
constexpr std::chrono::milliseconds kRestartDelay{ 500 };
constexpr std::uint32_t kFirstEra = 1;
constexpr std::uint16_t kAgentPort = 8172;
constexpr std::uint16_t kBalancerPort = 7720;
constexpr std::uint32_t kBalancerSubnet = 0x0A010000;
constexpr std::uint32_t kAgentSubnet = 0x0A020000;
constexpr std::uint32_t kCallerSubnet = 0x64400000;
constexpr std::uint32_t kRouteSubnet = 0xC6120000;
constexpr Core::TimePoint kStartTime{ 1'000s };
const char* const kServices[] = { "red", "blue" };

const Steering::RetransmissionSchedule kRetransmissionSchedule{
  { 0ms, 200ms, 600ms },
  1'400ms
};

Core::Endpoint
routeAddress(const std::string& aService)
{
  return { kRouteSubnet + (aService == kServices[0] ? 1U : 2U), 443 };
}

std::string
toText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

} // namespace

struct FlowSimulation::BalancerOutput
{
  FlowSimulation& simulation;
  std::string name;
  SimulatedLink& link;

  void sendToAgent(const Core::Endpoint& aTo,
                   absl::Span<const std::uint8_t> aData)
  {
    simulation.transmitToAgent(name, aTo, Bytes(aData.begin(), aData.end()));
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    const auto sentAt = link.transmit(aData.size(), simulation.mNow);
    if (sentAt) {
      simulation.transmitToCaller(
        *sentAt, Bytes(aData.begin(), aData.end()), true);
    }
  }
};

struct FlowSimulation::AgentOutput
{
  FlowSimulation& simulation;
  std::string target;
  Core::Endpoint agent;

  void sendToBalancer(const Core::Endpoint& aTo,
                      absl::Span<const std::uint8_t> aData)
  {
    simulation.transmitToBalancer(
      agent, aTo, Bytes(aData.begin(), aData.end()));
  }
  void deliver(absl::Span<const std::uint8_t> aData)
  {
    simulation.transmitToTarget(target, Bytes(aData.begin(), aData.end()));
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    simulation.transmitToCaller(
      simulation.mNow, Bytes(aData.begin(), aData.end()), false);
  }
};

struct FlowSimulation::Balancer
{
  Balancer(const SimulatedLink& aLink, Core::TimePoint aFirstProbeAt)
    : incoming(aLink)
    , outgoing(aLink)
    , readiness(aFirstProbeAt)
  {
  }

  std::string name;
  std::size_t zone = 0;
  Core::Endpoint endpoint;
  SimulatedLink incoming;
  SimulatedLink outgoing;
  ReadinessProbe readiness;
  /** When the balancer was terminated; null if it was not. */
  Core::TimePoint stoppingSince{};
  Core::TimePoint lastCallerPacketAt{};
  std::uint64_t callerByteCount = 0;
  /** When a terminated balancer starts again; null if it does not. */
  Core::TimePoint restartAt{};
  std::unique_ptr<BalancerOutput> output;
  /** Null while the balancer does not run. */
  std::unique_ptr<
    Steering::FlowSteerer<Platform::DatagramFormat, BalancerOutput>>
    steerer;
  Platform::StoreSnapshot snapshot;
  Platform::MapDecoder decoder;
  /** Until then targets may be missing from the snapshot. */
  Core::TimePoint completeAt{};
};

/** A backend server and its agent. */
struct FlowSimulation::TargetNode
{
  std::string name;
  std::string service;
  std::size_t zone;
  Core::Endpoint agent;
  Steering::TargetState state = Steering::TargetState::Accepting;
  bool isAnnounced = true;
  /** Increases with each target; serves as the time of its start. */
  std::size_t number = 0;
  /** The announcement in the store; empty if there is none. */
  std::string announced;
  Core::TimePoint drainingSince{};
  /** When the agent last started or was resumed. */
  Core::TimePoint runningSince{};
  Core::TimePoint coldUntil{};
  std::unique_ptr<AgentOutput> output;
  /** Null while the agent does not run. */
  std::unique_ptr<
    Steering::AdmissionController<Platform::DatagramFormat, AgentOutput>>
    controller;
  /** Null after a crash. */
  std::unique_ptr<FakeTarget> target;
};

FlowSimulation::FlowSimulation(const FlowSimulationSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mEvents({ "simulation", "off", false })
  , mNow(kStartTime)
  , mServices(std::begin(kServices), std::end(kServices))
{
  for (const auto& service : mServices) {
    mShares[service] = { service };
  }
  for (std::size_t i = 0; i < aSettings.targetsPerService; ++i) {
    for (const auto* service : kServices) {
      createTarget(service, { kAgentSubnet + mNextAddress++, kAgentPort });
    }
  }
  const auto balancerCount = kZoneCount * aSettings.balancersPerZone;
  for (std::size_t i = 0; i < balancerCount; ++i) {
    const bool isNarrow = i / kZoneCount < aSettings.narrowBalancersPerZone;
    const SimulatedLink link(isNarrow ? aSettings.narrowLinkBytesPerSecond : 0);
    auto balancer = std::make_unique<Balancer>(
      link, mNow + i * ReadinessProbe::kInterval / balancerCount);
    balancer->name = absl::StrCat("b", i + 1);
    balancer->zone = i % kZoneCount;
    balancer->endpoint = { kBalancerSubnet + static_cast<std::uint32_t>(i) + 1,
                           kBalancerPort };
    balancer->output = std::make_unique<BalancerOutput>(
      BalancerOutput{ *this, balancer->name, balancer->outgoing });
    mBalancers[balancer->name] = std::move(balancer);
  }
  writeConfiguration();
  publishMap();
  for (const auto& name : balancerNames()) {
    startBalancer(name);
  }
}

FlowSimulation::~FlowSimulation() = default;

std::string
FlowSimulation::createTarget(const std::string& aService, Core::Endpoint aAgent)
{
  auto node = std::make_unique<TargetNode>();
  auto name = absl::StrCat("t", mTargetNodes.size() + 1);
  node->name = name;
  node->service = aService;
  node->zone = (mTargetNodes.size() / 2) % kZoneCount;
  node->agent = aAgent;
  node->number = mTargetNodes.size() + 1;
  node->output =
    std::make_unique<AgentOutput>(AgentOutput{ *this, name, aAgent });
  startBackend(*node, mSettings.isFleetCold || !mBalancers.empty());
  mTargetNameByAgent[Steering::endpointKey(aAgent)] = name;
  mTargetNodes[name] = std::move(node);
  startAgent(name);
  return name;
}

void
FlowSimulation::startBackend(TargetNode& aNode, bool aIsCold)
{
  aNode.target = std::make_unique<FakeTarget>(
    aNode.service,
    aNode.name,
    mSettings.slots,
    static_cast<std::uint32_t>(aNode.number * 10'000),
    mRuns);
  aNode.coldUntil = aIsCold ? mNow + mSettings.warmupTime : Core::TimePoint{};
  aNode.target->startCold(mSettings.coldRequestsPerSecond, aNode.coldUntil);
}

void
FlowSimulation::restartTarget(const std::string& aTarget)
{
  auto& node = *mTargetNodes.at(aTarget);
  node.number += mTargetNodes.size();
  startBackend(node, true);
  announce(node);
  publishMap();
}

std::vector<std::string>
FlowSimulation::balancerNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, balancer] : mBalancers) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string>
FlowSimulation::targetNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, node] : mTargetNodes) {
    names.push_back(name);
  }
  return names;
}

void
FlowSimulation::killBalancer(const std::string& aName)
{
  auto& balancer = *mBalancers.at(aName);
  balancer.stoppingSince = {};
  balancer.restartAt = {};
  if (balancer.steerer != nullptr) {
    for (std::size_t i = 0; i < mEndedCounters.size(); ++i) {
      mEndedCounters[i] += balancer.steerer->counters().value(
        static_cast<Steering::SteeringCounter>(i));
    }
  }
  balancer.steerer.reset();
}

void
FlowSimulation::terminateBalancer(const std::string& aName)
{
  auto& balancer = *mBalancers.at(aName);
  if (balancer.steerer != nullptr &&
      balancer.stoppingSince == Core::TimePoint{}) {
    balancer.stoppingSince = mNow;
  }
}

void
FlowSimulation::terminateInSeries(const std::vector<std::string>& aNames,
                                  Core::Duration aGap)
{
  auto at = mNow;
  for (const auto& name : aNames) {
    mDeliveries.push(
      { at, ++mDeliveryNumber, [this, name] { terminateBalancer(name); } });
    at += aGap;
  }
}

void
FlowSimulation::startBalancer(const std::string& aName, bool aHasMap)
{
  killBalancer(aName);
  auto& balancer = *mBalancers.at(aName);
  balancer.steerer = std::make_unique<
    Steering::FlowSteerer<Platform::DatagramFormat, BalancerOutput>>(
    *balancer.output,
    Steering::BalancerConfig{ absl::StrCat("z", balancer.zone),
                              kRetransmissionSchedule },
    mEvents);
  balancer.snapshot = {};
  balancer.decoder = Platform::MapDecoder();
  mLastUnevenAt = mNow;
  if (aHasMap) {
    sendMap(balancer);
  }
}

void
FlowSimulation::killAgent(const std::string& aTarget)
{
  mTargetNodes.at(aTarget)->controller.reset();
}

void
FlowSimulation::startAgent(const std::string& aTarget)
{
  auto& node = *mTargetNodes.at(aTarget);
  node.runningSince = mNow;
  node.controller = std::make_unique<
    Steering::AdmissionController<Platform::DatagramFormat, AgentOutput>>(
    *node.output,
    Steering::AgentConfig{ node.service },
    mEvents,
    mHistograms,
    mNow);
}

void
FlowSimulation::killTarget(const std::string& aTarget)
{
  auto& node = *mTargetNodes.at(aTarget);
  node.target.reset();
  node.isAnnounced = false;
  publishMap();
}

std::string
FlowSimulation::addTarget(const std::string& aService)
{
  auto name =
    createTarget(aService, { kAgentSubnet + mNextAddress++, kAgentPort });
  publishMap();
  return name;
}

void
FlowSimulation::drainTarget(const std::string& aTarget)
{
  mTargetNodes.at(aTarget)->state = Steering::TargetState::Draining;
  publishMap();
}

void
FlowSimulation::reuseAddress(const std::string& aTarget,
                             const std::string& aService)
{
  const auto agent = mTargetNodes.at(aTarget)->agent;
  killTarget(aTarget);
  killAgent(aTarget);
  createTarget(aService, agent);
  publishMap();
}

void
FlowSimulation::resume(const std::string& aName)
{
  mSuspended.erase(aName);
  mLastUnevenAt = mNow;
  const auto it = mTargetNodes.find(aName);
  if (it != mTargetNodes.end()) {
    it->second->runningSince = mNow;
  }
}

void
FlowSimulation::setProcessingTime(const std::string& aTarget,
                                  Core::Duration aProcessingTime)
{
  mTargetNodes.at(aTarget)->target->setProcessingTime(aProcessingTime);
}

void
FlowSimulation::setResetting(const std::string& aTarget, bool aIsResetting)
{
  mTargetNodes.at(aTarget)->target->setResetting(aIsResetting);
}

void
FlowSimulation::resumeMapUpdates(const std::string& aBalancer)
{
  mMapUpdatesPaused.erase(aBalancer);
  mLastUnevenAt = mNow;
  auto& balancer = *mBalancers.at(aBalancer);
  if (balancer.steerer != nullptr) {
    sendMap(balancer);
  }
}

const FakeTarget*
FlowSimulation::target(const std::string& aName) const
{
  return mTargetNodes.at(aName)->target.get();
}

bool
FlowSimulation::isRunning(const std::string& aTarget) const
{
  return mTargetNodes.at(aTarget)->target != nullptr;
}

void
FlowSimulation::writeConfiguration()
{
  Json::Value root;
  root["version"] = Json::Value::UInt64(mConfigurationVersion);
  for (const auto& name : mServices) {
    Json::Value service;
    service["name"] = name;
    if (mSettings.coldRequestsPerSecond > 0) {
      service["warmupPerS"] =
        Json::Value::UInt64(mSettings.coldRequestsPerSecond);
    }
    root["services"].append(service);
  }
  for (const auto* name : kServices) {
    const auto address = routeAddress(name);
    Json::Value route;
    route["name"] = name;
    route["host"] = Core::formatAddress(address.address);
    route["prefix"] = absl::StrCat("/", address.port, "/");
    route["type"] = mSettings.routeType;
    route["aimMs"] = 300;
    route["timeoutMs"] = 4'000;
    for (const auto& service : mShares.at(name)) {
      Json::Value share;
      share["service"] = service;
      share["weight"] = 1;
      route["trafficSplit"].append(share);
      mServicesOfRoutes[address].insert(service);
    }
    root["routes"].append(route);
  }
  mStore.put(Platform::kConfigurationKey, toText(root));
}

void
FlowSimulation::announce(TargetNode& aNode)
{
  const auto key = absl::StrCat(Platform::kServersPrefix, aNode.name);
  if (!aNode.isAnnounced) {
    mStore.erase(key);
    aNode.announced.clear();
    return;
  }
  Json::Value server;
  server["service"] = aNode.service;
  server["address"] =
    absl::StrCat(Core::formatAddress(aNode.agent.address), ":8080");
  server["zone"] = absl::StrCat("z", aNode.zone);
  server["maxConcurrency"] = mSettings.slots;
  server["state"] =
    aNode.state == Steering::TargetState::Draining ? "draining" : "ready";
  server["born"] = Json::Value::UInt64(aNode.number);
  if (aNode.coldUntil > mNow) {
    server["warmupLeftMs"] = Json::Value::Int64(
      std::chrono::ceil<std::chrono::milliseconds>(aNode.coldUntil - mNow)
        .count());
  }
  aNode.announced = toText(server);
  mStore.put(key, aNode.announced);
}

void
FlowSimulation::announceAgain()
{
  for (const auto& [name, node] : mTargetNodes) {
    mStore.erase(absl::StrCat(Platform::kServersPrefix, name));
    node->announced.clear();
  }
  publishMap();
}

void
FlowSimulation::publishMap()
{
  for (auto& [name, node] : mTargetNodes) {
    const bool isNew = node->isAnnounced && node->announced.empty();
    const bool isGone = !node->isAnnounced && !node->announced.empty();
    const bool isNewlyDraining =
      node->state == Steering::TargetState::Draining &&
      node->drainingSince == Core::TimePoint{};
    if (isNewlyDraining) {
      node->drainingSince = mNow;
    }
    if (isNew || isGone || (isNewlyDraining && node->isAnnounced)) {
      announce(*node);
    }
  }
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->steerer != nullptr && !mMapUpdatesPaused.contains(name)) {
      sendMap(*balancer);
    }
  }
}

void
FlowSimulation::setEvacuated(std::size_t aZone, bool aIsEvacuated)
{
  mEvacuations[aZone] = { aIsEvacuated, mNow };
  writeEvacuation(aZone);
  publishMap();
}

bool
FlowSimulation::isEvacuationKnown(std::size_t aZone) const
{
  const auto key = absl::StrCat(Platform::kEvacuationPrefix, "z", aZone);
  const auto items = mStore.items();
  return std::any_of(items.begin(),
                     items.end(),
                     [&key](const auto& aItem) { return aItem.key == key; }) ||
         std::any_of(
           mBalancers.begin(), mBalancers.end(), [&key](const auto& aEntry) {
             const auto& balancer = *aEntry.second;
             return balancer.steerer != nullptr &&
                    balancer.snapshot.find(key) != nullptr;
           });
}

void
FlowSimulation::writeEvacuation(std::size_t aZone)
{
  const auto key = absl::StrCat(Platform::kEvacuationPrefix, "z", aZone);
  if (mEvacuations[aZone].isEvacuated) {
    mStore.put(key, "{}");
  } else {
    mStore.erase(key);
  }
}

void
FlowSimulation::promoteConfiguration()
{
  ++mConfigurationVersion;
  writeConfiguration();
  publishMap();
}

void
FlowSimulation::setShares(const std::string& aService,
                          const std::vector<std::string>& aShares)
{
  mShares[aService] = aShares;
  promoteConfiguration();
}

void
FlowSimulation::removeService(const std::string& aService)
{
  std::erase(mServices, aService);
  promoteConfiguration();
}

void
FlowSimulation::restoreStore(std::size_t aLostChanges)
{
  constexpr std::int64_t kMaxRewriteDelayMs = 2'000;
  mStore.restore(aLostChanges);
  publishMap();
  std::uniform_int_distribution<std::int64_t> delay(0, kMaxRewriteDelayMs);
  const auto scheduleRewrite = [&](std::function<void()> aRewrite) {
    mDeliveries.push({ mNow + std::chrono::milliseconds(delay(mRandom)),
                       ++mDeliveryNumber,
                       [this, aRewrite = std::move(aRewrite)] {
                         aRewrite();
                         publishMap();
                       } });
  };
  scheduleRewrite([this] { writeConfiguration(); });
  for (std::size_t zone = 0; zone < kZoneCount; ++zone) {
    if (mEvacuations[zone].changedAt != Core::TimePoint{}) {
      scheduleRewrite([this, zone] {
        if (!isEvacuationKnown(zone)) {
          mEvacuations[zone].changedAt = mNow;
        }
        writeEvacuation(zone);
      });
    }
  }
  for (auto& [name, node] : mTargetNodes) {
    scheduleRewrite([this, to = node.get()] { announce(*to); });
  }
}

void
FlowSimulation::sendMap(Balancer& aBalancer)
{
  auto& snapshot = aBalancer.snapshot;
  const auto revision = mStore.revision();
  if (snapshot.revision().era == revision.era) {
    const auto changes = mStore.changesAfter(snapshot.revision().change);
    for (const auto& change : changes) {
      if (change.key == Platform::kConfigurationKey) {
        aBalancer.decoder.followConfiguration(change, mNow);
      }
    }
    snapshot.apply(changes, revision, mNow);
  } else {
    snapshot.replace(mStore.items(), revision, mNow);
    mergeFromPeers(aBalancer);
    mergeHistoryFromPeers(aBalancer);
    if (revision.era > kFirstEra) {
      aBalancer.completeAt = mNow + Platform::StoreSnapshot::kReannounceTime;
    }
  }
  setMap(aBalancer);
}

bool
FlowSimulation::isEmptyZoneError(const std::string& aError) const
{
  for (std::size_t zone = 0; zone < kZoneCount; ++zone) {
    const bool isEmpty = std::none_of(
      mTargetNodes.begin(), mTargetNodes.end(), [zone](const auto& aEntry) {
        return aEntry.second->zone == zone && aEntry.second->isAnnounced;
      });
    if (isEmpty && aError == absl::StrCat(Platform::kEvacuationPrefix,
                                          "z",
                                          zone,
                                          ": no target is announced in the "
                                          "zone")) {
      return true;
    }
  }
  return false;
}

void
FlowSimulation::setMap(Balancer& aBalancer)
{
  const auto decoded = aBalancer.decoder.decode(
    aBalancer.snapshot, kAgentPort, aBalancer.steerer->map(), mNow);
  const bool isServiceMissing = mServices.size() < std::size(kServices);
  for (const auto& error : decoded.errors) {
    const bool isExpected =
      isServiceMissing && absl::StrContains(error, "unknown service");
    if (!isExpected && !isEmptyZoneError(error)) {
      mViolations.push_back(absl::StrCat("unreadable entry: ", error));
    }
  }
  const auto usesNewestVersion = [this](const auto& aEntry) {
    const auto& steerer = aEntry.second->steerer;
    return steerer != nullptr && steerer->map() != nullptr &&
           steerer->map()->version() == mConfigurationVersion;
  };
  if (decoded.map->version() < mConfigurationVersion &&
      !mMapUpdatesPaused.contains(aBalancer.name) &&
      std::any_of(mBalancers.begin(), mBalancers.end(), usesNewestVersion)) {
    mViolations.push_back(
      absl::StrCat(aBalancer.name, " uses an old configuration"));
  }
  aBalancer.steerer->setMap(decoded.map, mNow);
}

void
FlowSimulation::mergeFromPeers(Balancer& aBalancer)
{
  auto& snapshot = aBalancer.snapshot;
  for (const auto& [name, peer] : mBalancers) {
    const auto& known = peer->snapshot;
    const bool mayKnowMore = known.revision() > snapshot.revision() ||
                             known.revision().era < snapshot.revision().era ||
                             known.isReconciling(mNow);
    if (peer.get() == &aBalancer || peer->steerer == nullptr || !mayKnowMore) {
      continue;
    }
    std::vector<Platform::StoreItem> items;
    for (const auto& [key, item] : known.items()) {
      items.push_back(item);
    }
    if (known.revision() > snapshot.revision()) {
      snapshot.replace(items, known.revision(), mNow);
      snapshot.addRemoved(known.removedItems(), mNow);
    } else {
      snapshot.mergeKnown(items, known.removedItems(), known.revision(), mNow);
    }
  }
}

void
FlowSimulation::mergeHistoryFromPeers(Balancer& aBalancer)
{
  const auto status =
    aBalancer.decoder.useConfiguration(aBalancer.snapshot, mNow);
  for (const auto& [name, peer] : mBalancers) {
    if (status.ok() && peer.get() != &aBalancer && peer->steerer != nullptr &&
        peer->steerer->map() != nullptr) {
      aBalancer.decoder.mergeHistory(peer->decoder.routeHistory());
    }
  }
}

void
FlowSimulation::expireKeptEntries()
{
  for (auto& [name, balancer] : mBalancers) {
    const auto nextExpiry = balancer->snapshot.nextExpiry();
    if (balancer->steerer == nullptr) {
      continue;
    }
    if (nextExpiry && *nextExpiry <= mNow && balancer->snapshot.expire(mNow)) {
      setMap(*balancer);
    }
    balancer->steerer->setPlatformReachable(mNow >= balancer->completeAt);
  }
}

FlowCaller&
FlowSimulation::openFlow(const std::string& aService,
                         std::size_t aZone,
                         std::size_t aRequestCount,
                         Core::Duration aPause,
                         std::size_t aRequestBytes)
{
  std::vector<std::string> requests;
  for (std::size_t i = 0; i < aRequestCount; ++i) {
    auto request = absl::StrCat("r", mNextRequest++);
    request.resize(std::max(request.size(), aRequestBytes), '.');
    requests.push_back(std::move(request));
    mRouteByRequest[requests.back()] = routeAddress(aService);
  }
  const Packet::FlowKey flow{ { kCallerSubnet + 7, mNextCallerPort++ },
                              routeAddress(aService) };
  mCallers.push_back(
    std::make_unique<FlowCaller>(flow, std::move(requests), aPause, mNow));
  mCallerByFlow[flow] = { mCallers.back().get(), aZone };
  mActiveCallers[flow] = mCallerByFlow[flow];
  return *mCallers.back();
}

void
FlowSimulation::advance(Core::Duration aDuration)
{
  const auto end = mNow + aDuration;
  while (mNow < end) {
    mNow += kTimeStep;
    step();
  }
}

void
FlowSimulation::step()
{
  while (!mDeliveries.empty() && mDeliveries.top().at <= mNow) {
    const auto deliver = mDeliveries.top().deliver;
    mDeliveries.pop();
    deliver();
  }
  sendCallerPackets();
  for (auto& [name, node] : mTargetNodes) {
    if (node->target != nullptr) {
      for (const auto& packet : node->target->takeDuePackets(mNow)) {
        transmitFromTarget(name, packet);
      }
    }
    if (node->controller != nullptr && !mSuspended.contains(name)) {
      node->controller->tick(mNow);
    }
  }
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->steerer != nullptr && !mSuspended.contains(name)) {
      balancer->steerer->tick(mNow);
    }
  }
  updateStoppingBalancers();
  probeReadiness();
  expireKeptEntries();
}

void
FlowSimulation::sendCallerPackets()
{
  for (auto it = mActiveCallers.begin(); it != mActiveCallers.end();) {
    auto* caller = it->second.first;
    for (const auto& packet : caller->takeDuePackets(mNow)) {
      forwardToBalancer(it->second.second, packet);
    }
    const bool isActive = caller->state() == FlowState::Connecting ||
                          caller->state() == FlowState::Open;
    it = isActive ? std::next(it) : mActiveCallers.erase(it);
  }
}

/** Ends the balancers that have stopped, and starts them again. */
void
FlowSimulation::updateStoppingBalancers()
{
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->stoppingSince != Core::TimePoint{}) {
      const auto quietSince =
        std::max(balancer->stoppingSince, balancer->lastCallerPacketAt);
      if (mNow - quietSince >= kStopQuietTime ||
          mNow - balancer->stoppingSince >= kMaxStopTime) {
        killBalancer(name);
        balancer->restartAt = mNow + kRestartDelay;
      }
    } else if (balancer->restartAt != Core::TimePoint{} &&
               mNow >= balancer->restartAt) {
      startBalancer(name);
    }
  }
}

void
FlowSimulation::probeReadiness()
{
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->readiness.isDue(mNow)) {
      const auto* steerer = balancer->steerer.get();
      const bool isReady = steerer != nullptr && steerer->map() != nullptr &&
                           !steerer->isIsolated(mNow) &&
                           balancer->stoppingSince == Core::TimePoint{} &&
                           !mSuspended.contains(name);
      balancer->readiness.record(isReady, mNow);
    }
  }
}

void
FlowSimulation::scheduleDelivery(Core::TimePoint aSentAt,
                                 std::size_t aFromZone,
                                 std::size_t aToZone,
                                 std::function<void()> aDeliver)
{
  if (std::uniform_real_distribution<>(0, 1)(mRandom) < mSettings.loss) {
    return;
  }
  const Core::Duration delay = aFromZone == aToZone
                                 ? Core::Duration(kInZoneLatency)
                                 : Core::Duration(kCrossZoneLatency);
  mDeliveries.push({ aSentAt + delay, ++mDeliveryNumber, std::move(aDeliver) });
}

void
FlowSimulation::receive(Balancer& aBalancer,
                        std::size_t aBytes,
                        std::function<void()> aHandle)
{
  const auto receivedAt = aBalancer.incoming.transmit(aBytes, mNow);
  if (receivedAt && *receivedAt <= mNow) {
    aHandle();
  } else if (receivedAt) {
    mDeliveries.push({ *receivedAt, ++mDeliveryNumber, std::move(aHandle) });
  }
}

std::vector<FlowSimulation::Balancer*>
FlowSimulation::selectableBalancers(std::size_t aZone) const
{
  std::vector<Balancer*> all;
  std::vector<Balancer*> selectable;
  for (const auto& [name, balancer] : mBalancers) {
    if (balancer->zone != aZone) {
      continue;
    }
    all.push_back(balancer.get());
    if (mSettings.probesReadiness ? balancer->readiness.isInRotation()
                                  : balancer->steerer != nullptr) {
      selectable.push_back(balancer.get());
    }
  }
  const bool usesAll =
    mSettings.probesReadiness && selectable.size() * 2 < all.size();
  return usesAll ? all : selectable;
}

void
FlowSimulation::forwardToBalancer(std::size_t aZone, const Bytes& aPacket)
{
  const auto balancers = selectableBalancers(aZone);
  if (balancers.empty()) {
    return;
  }
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromCaller();
  auto* balancer = balancers[Steering::flowHash(flow) % balancers.size()];
  mDeliveries.push({ mNow + kCallerLatency, ++mDeliveryNumber, [=, this] {
                      if (mSuspended.contains(balancer->name)) {
                        mDeliveries.push(
                          { mNow + kSuspendedRetryInterval,
                            ++mDeliveryNumber,
                            [=, this] { forwardToBalancer(aZone, aPacket); } });
                      } else {
                        receive(*balancer, aPacket.size(), [=, this] {
                          handleCallerPacket(*balancer, aPacket);
                        });
                      }
                    } });
}

void
FlowSimulation::handleCallerPacket(Balancer& aBalancer, const Bytes& aPacket)
{
  if (aBalancer.steerer != nullptr && !mSuspended.contains(aBalancer.name)) {
    aBalancer.lastCallerPacketAt = mNow;
    aBalancer.callerByteCount += aPacket.size() + SimulatedLink::kHeaderBytes;
    aBalancer.steerer->handleCallerPacket(aPacket, mNow);
  }
}

void
FlowSimulation::transmitToAgent(const std::string& aFrom,
                                const Core::Endpoint& aTo,
                                const Bytes& aData)
{
  auto& balancer = *mBalancers.at(aFrom);
  const auto it = mTargetNameByAgent.find(Steering::endpointKey(aTo));
  if (it == mTargetNameByAgent.end()) {
    return;
  }
  auto& node = *mTargetNodes.at(it->second);
  const auto message = Steering::AgentMessage::parse(aData);
  if (message.ok() && message->kind == Steering::MessageKind::OwnerQuery) {
    ++mOwnerQueryCount;
  }
  if (message.ok() && message->kind == Steering::MessageKind::Probe) {
    ++mProbeCount;
  }
  const auto sentAt = balancer.outgoing.transmit(aData.size(), mNow);
  if (!sentAt) {
    return;
  }
  const auto from = balancer.endpoint;
  scheduleDelivery(*sentAt, balancer.zone, node.zone, [=, this, &node] {
    if (node.controller != nullptr && !mSuspended.contains(node.name)) {
      node.controller->handleBalancerMessage(from, aData, mNow);
    }
  });
}

void
FlowSimulation::transmitToBalancer(const Core::Endpoint& aFrom,
                                   const Core::Endpoint& aTo,
                                   const Bytes& aData)
{
  const auto& node =
    *mTargetNodes.at(mTargetNameByAgent.at(Steering::endpointKey(aFrom)));
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->endpoint == aTo) {
      auto* to = balancer.get();
      scheduleDelivery(mNow, node.zone, to->zone, [=, this] {
        receive(*to, aData.size(), [=, this] {
          if (to->steerer != nullptr && !mSuspended.contains(to->name)) {
            to->steerer->handleAgentMessage(aFrom, aData, mNow);
          }
        });
      });
    }
  }
}

void
FlowSimulation::transmitToTarget(const std::string& aTarget,
                                 const Bytes& aPacket)
{
  auto& node = *mTargetNodes.at(aTarget);
  if (node.target == nullptr) {
    return;
  }
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromCaller();
  if (!mServicesOfRoutes.at(flow.service).contains(node.service)) {
    mViolations.push_back(
      absl::StrCat("packet of another service delivered to ", aTarget));
  }
  checkDrain(node, aPacket);
  checkEvacuation(node, aPacket);
  for (const auto& packet : node.target->handlePacket(aPacket, mNow)) {
    transmitFromTarget(aTarget, packet);
  }
  checkDelivery(node, flow);
  if (node.target->isSlowStartLimitExceeded()) {
    mViolations.push_back(absl::StrCat(
      sinceStart().count(), " ms: too many requests for the cold ", aTarget));
  }
}

/** Only the agent of its target can deliver a packet of a flow to it. */
void
FlowSimulation::checkDelivery(const TargetNode& aNode,
                              const Packet::FlowKey& aFlow)
{
  if (aNode.target->ownsFlow(aFlow)) {
    mOwners[aFlow] = &aNode;
    mDeliveryCheck.restart(aFlow);
    return;
  }
  const auto it = mOwners.find(aFlow);
  if (it == mOwners.end()) {
    return;
  }
  const auto* owner = it->second;
  const bool isReachable =
    owner->controller != nullptr && !mSuspended.contains(owner->name);
  if (owner->target == nullptr || !owner->target->ownsFlow(aFlow)) {
    mOwners.erase(it);
    mDeliveryCheck.restart(aFlow);
  } else if (!isReachable) {
    mDeliveryCheck.restart(aFlow);
  } else if (mDeliveryCheck.recordAstray(aFlow, mNow)) {
    mViolations.push_back(absl::StrCat(sinceStart().count(),
                                       " ms: packets of a flow reached only "
                                       "other targets than ",
                                       owner->name,
                                       ": ",
                                       Packet::formatFlowKey(aFlow)));
  }
}

/** A draining target gets no new flow once every balancer can know of it. */
void
FlowSimulation::checkDrain(const TargetNode& aNode, const Bytes& aPacket)
{
  constexpr std::chrono::milliseconds kDrainLimit{ 3'000 };
  const bool isLate = aNode.drainingSince != Core::TimePoint{} &&
                      mNow - aNode.drainingSince > kDrainLimit;
  const bool isEven = mSuspended.empty() && mMapUpdatesPaused.empty() &&
                      mNow - mLastUnevenAt > kDrainLimit;
  const auto packet = Platform::Datagram::parse(aPacket);
  if (isLate && isEven && packet->isSyn() &&
      packet->retransmissionCount() == 0) {
    mViolations.push_back(
      absl::StrCat("new flow for the draining target ", aNode.name));
  }
}

/**
 * A target of an evacuated zone gets no SYN of a flow that it does not know
 * once the bound has passed. An agent that was started or resumed since then
 * may get one from a balancer that has an old map.
 */
void
FlowSimulation::checkEvacuation(const TargetNode& aNode, const Bytes& aPacket)
{
  constexpr std::chrono::milliseconds kEvacuationBound{ 5'000 };
  const auto& evacuation = mEvacuations[aNode.zone];
  const auto packet = Platform::Datagram::parse(aPacket);
  const bool isLate = evacuation.isEvacuated &&
                      mNow - evacuation.changedAt > kEvacuationBound &&
                      isEvacuationKnown(aNode.zone);
  if (!isLate || !packet->isSyn() ||
      aNode.target->knowsFlow(packet->flowFromCaller())) {
    return;
  }
  const bool isEven = mSuspended.empty() && mMapUpdatesPaused.empty() &&
                      mNow - mLastUnevenAt > kEvacuationBound;
  if (isEven || aNode.runningSince < evacuation.changedAt) {
    mViolations.push_back(absl::StrCat(sinceStart().count(),
                                       " ms: new flow for ",
                                       aNode.name,
                                       " in an evacuated zone"));
  }
}

void
FlowSimulation::transmitFromTarget(const std::string& aTarget,
                                   const Bytes& aPacket)
{
  auto& node = *mTargetNodes.at(aTarget);
  // Delivered without delay, but not by a direct call: the agent may be
  // handling another packet, and it isn't reentrant.
  mDeliveries.push({ mNow, ++mDeliveryNumber, [this, &node, aPacket] {
                      if (node.controller != nullptr &&
                          !mSuspended.contains(node.name)) {
                        node.controller->handleTargetPacket(aPacket, mNow);
                      }
                    } });
}

void
FlowSimulation::transmitToCaller(Core::TimePoint aSentAt,
                                 const Bytes& aPacket,
                                 bool aIsFromBalancer)
{
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromBackend();
  const auto it = mCallerByFlow.find(flow);
  if (it == mCallerByFlow.end()) {
    mViolations.push_back("packet for an unknown caller");
    return;
  }
  auto* caller = it->second.first;
  mDeliveries.push({ aSentAt + kCallerLatency, ++mDeliveryNumber, [=, this] {
                      if (aIsFromBalancer) {
                        checkBalancerReset(*caller);
                      }
                      caller->handlePacket(aPacket, mNow);
                      for (const auto& packet : caller->takeDuePackets(mNow)) {
                        forwardToBalancer(
                          mCallerByFlow.at(caller->flow()).second, packet);
                      }
                    } });
}

std::uint64_t
FlowSimulation::counterSum(Steering::SteeringCounter aCounter) const
{
  auto sum = mEndedCounters[static_cast<std::size_t>(aCounter)];
  for (const auto& [name, balancer] : mBalancers) {
    if (balancer->steerer != nullptr) {
      sum += balancer->steerer->counters().value(aCounter);
    }
  }
  return sum;
}

std::uint64_t
FlowSimulation::bytesSent(const std::string& aBalancer) const
{
  return mBalancers.at(aBalancer)->outgoing.byteCount();
}

std::uint64_t
FlowSimulation::bytesFromCallers(const std::string& aBalancer) const
{
  return mBalancers.at(aBalancer)->callerByteCount;
}

Core::Duration
FlowSimulation::peakSendTime(const std::string& aBalancer) const
{
  return mBalancers.at(aBalancer)->outgoing.peakTime();
}

std::uint64_t
FlowSimulation::bytesReceived(const std::string& aBalancer) const
{
  return mBalancers.at(aBalancer)->incoming.byteCount();
}

std::chrono::milliseconds
FlowSimulation::sinceStart() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(mNow -
                                                               kStartTime);
}

/**
 * Checks a packet from a balancer to a caller, which is always a reset: a
 * balancer must not reset an open flow that a target owns.
 */
void
FlowSimulation::checkBalancerReset(const FlowCaller& aCaller)
{
  if (aCaller.state() != FlowState::Open) {
    return;
  }
  for (const auto& [name, node] : mTargetNodes) {
    if (node->target != nullptr && node->target->ownsFlow(aCaller.flow())) {
      mViolations.push_back(
        absl::StrCat(sinceStart().count(),
                     " ms: balancer reset a flow that ",
                     name,
                     " owns: ",
                     Packet::formatFlowKey(aCaller.flow())));
    }
  }
}

std::vector<std::string>
FlowSimulation::violations() const
{
  auto violations = mViolations;
  std::map<std::string, int> counts;
  for (const auto& run : mRuns) {
    const auto& route = mRouteByRequest.at(run.request);
    if (!mServicesOfRoutes.at(route).contains(run.service)) {
      violations.push_back(absl::StrCat(run.request, " ran at ", run.service));
    }
    if (++counts[run.request] == 2) {
      violations.push_back(absl::StrCat(run.request, " ran twice"));
    }
  }
  for (const auto& caller : mCallers) {
    if (caller->hasUnexpectedAnswer()) {
      violations.emplace_back("a caller got an answer to another request");
    }
    const auto& first = caller->requests().front();
    if (caller->state() == FlowState::Refused && counts[first] > 0) {
      violations.push_back(
        absl::StrCat(first, " was refused as not run but ran"));
    }
  }
  return violations;
}

} // namespace FlowTesting
