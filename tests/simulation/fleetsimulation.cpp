#include "simulation/fleetsimulation.h"

#include "packet/byteorder.h"
#include "transport/datagrambatch.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <iostream>

namespace Simulation {

namespace {

constexpr std::chrono::milliseconds kStepDuration{ 1 };
constexpr std::chrono::milliseconds kViewConfirmInterval{ 1'000 };
/** Capacity of a socket's receive buffer while its process is suspended. */
constexpr std::size_t kMaxSocketDatagrams = 400;
/** Maximum number of datagrams that a process reads in one batch. */
constexpr std::size_t kDatagramBatchSize = 8;

/** Description of a datagram for the trace. */
std::string
describeDatagram(const Packet::Bytes& aData)
{
  const auto gue = Packet::GuePacket::parse(aData);
  if (!gue.ok()) {
    return "malformed";
  }
  if (gue->content == Packet::GueContent::ControlMessage) {
    Messages::PeerMessage message;
    message.ParseFromArray(gue->body.data(),
                           static_cast<int>(gue->body.size()));
    return message.ShortDebugString();
  }
  const auto packet =
    Packet::PacketView::parse(gue->body, Packet::Verify::Headers);
  const auto header = Packet::ForwardHeader::parse(gue->privateData);
  const auto purpose = header.ok() ? static_cast<int>(header->purpose) : 0;
  return absl::StrCat(
    "purpose ",
    purpose,
    " ",
    packet.ok() ? Packet::formatFlowKey(packet->flowFromCaller()) : "");
}

} // namespace

/** A packet on a simulated link. */
struct FleetSimulation::PacketInFlight
{
  Core::TimePoint arrivesAt;
  std::uint64_t number = 0;
  std::string from;
  std::string to;
  Packet::Bytes data;

  bool operator>(const PacketInFlight& aOther) const
  {
    return std::pair(arrivesAt, number) >
           std::pair(aOther.arrivesAt, aOther.number);
  }
};

/** A datagram in the socket of a suspended process. */
struct FleetSimulation::QueuedDatagram
{
  Core::TimePoint receivedAt;
  Packet::Bytes data;
};

struct FleetSimulation::AgentOutput
{
  FleetSimulation& simulation;
  std::string name;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    simulation.send(name, aTo, aData);
  }
  void deliver(absl::Span<const std::uint8_t> aPacket)
  {
    simulation.trace("delivered to the backend server of " + name);
    simulation.mBackends[name]->handlePacket(aPacket, simulation.mNow);
  }
  void sendToCaller(absl::Span<const std::uint8_t> aPacket)
  {
    simulation.deliverToCaller(aPacket);
  }
};

struct FleetSimulation::BalancerOutput
{
  FleetSimulation& simulation;
  std::string name;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    simulation.send(name, aTo, aData);
  }
};

struct FleetSimulation::AgentProcess
{
  AgentProcess(FleetSimulation& aSimulation,
               const std::string& aName,
               const Ownership::AgentIdentity& aSelf)
    : output{ aSimulation, aName }
    , engine(output,
             aSelf,
             aSimulation.mFlowHashKey,
             aSimulation.mEvents,
             aSimulation.mHistograms)
  {
  }

  AgentOutput output;
  Ownership::AgentEngine<AgentOutput> engine;
  bool isSuspended = false;
  std::deque<QueuedDatagram> socketQueue;
  Core::TimePoint confirmedAt{};
};

struct FleetSimulation::BalancerProcess
{
  BalancerProcess(FleetSimulation& aSimulation, const std::string& aName)
    : output{ aSimulation, aName }
    , engine(output, dataEndpoint(aName), aSimulation.mFlowHashKey)
  {
  }

  BalancerOutput output;
  Balancing::BalancerEngine<BalancerOutput> engine;
  bool isSuspended = false;
  std::deque<QueuedDatagram> socketQueue;
};

FleetSimulation::FleetSimulation(const SimulationSettings& aSettings)
  : mSettings(aSettings)
  , mFleet(aSettings.fleet)
  , mView(buildView(mFleet))
  , mRandom(aSettings.seed)
  , mNow(std::chrono::hours(1))
  , mEvents({ "simulation", "off", false })
{
  for (const auto& name : mFleet.targets) {
    startAgent(name);
  }
  for (std::size_t i = 1; i <= mFleet.balancerCount; ++i) {
    startBalancer(absl::StrCat("b", i));
  }
}

FleetSimulation::~FleetSimulation() = default;

void
FleetSimulation::trace(const std::string& aText) const
{
  if (mSettings.isTraceEnabled) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch());
    std::cout << time.count() << " ms " << aText << "\n";
  }
}

void
FleetSimulation::startAgent(const std::string& aName)
{
  if (!mBackends.contains(aName)) {
    mBackends[aName] = std::make_unique<FakeBackend>(aName, mRuns);
  }
  mNamesByEndpoint[dataEndpoint(aName)] = aName;
  Ownership::AgentIdentity self;
  self.name = aName;
  self.target = Config::identityOf(aName);
  self.endpoint = dataEndpoint(aName);
  self.claimer = ++mLastClaimer;
  self.incarnation = mLastClaimer;
  self.startedAt = mNow;
  mAgents[aName] = std::make_unique<AgentProcess>(*this, aName, self);
  activateCurrentView(aName);
  mAgents[aName]->engine.adoptFlows(mBackends[aName]->openFlows(), mNow);
}

void
FleetSimulation::startBalancer(const std::string& aName)
{
  mNamesByEndpoint[dataEndpoint(aName)] = aName;
  mBalancers[aName] = std::make_unique<BalancerProcess>(*this, aName);
  activateCurrentView(aName);
}

void
FleetSimulation::activateCurrentView(const std::string& aName)
{
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    static_cast<void>(it->second->engine.activateView(mView, mNow));
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    static_cast<void>(it->second->engine.activateView(mView, mNow));
  }
}

void
FleetSimulation::promote(const std::function<void(FleetSettings&)>& aChange)
{
  aChange(mFleet);
  ++mFleet.revision;
  mView = buildView(mFleet);
  for (const auto& name : mFleet.targets) {
    if (!mBackends.contains(name)) {
      startAgent(name);
    }
  }
  for (const auto& [name, process] : mAgents) {
    if (!mProcessesWithoutViewUpdates.contains(name) && !process->isSuspended) {
      activateCurrentView(name);
    }
  }
  for (const auto& [name, process] : mBalancers) {
    if (!mProcessesWithoutViewUpdates.contains(name) && !process->isSuspended) {
      activateCurrentView(name);
    }
  }
}

void
FleetSimulation::unblockViewUpdates(const std::string& aName)
{
  mProcessesWithoutViewUpdates.erase(aName);
  activateCurrentView(aName);
}

bool
FleetSimulation::isAlive(const std::string& aName) const
{
  return mAgents.contains(aName) || mBalancers.contains(aName);
}

void
FleetSimulation::kill(const std::string& aName)
{
  mAgents.erase(aName);
  mBalancers.erase(aName);
}

void
FleetSimulation::restart(const std::string& aName)
{
  kill(aName);
  if (aName.front() == 'b') {
    startBalancer(aName);
  } else {
    startAgent(aName);
  }
}

void
FleetSimulation::suspend(const std::string& aName)
{
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    it->second->isSuspended = true;
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    it->second->isSuspended = true;
  }
}

void
FleetSimulation::resume(const std::string& aName)
{
  // Datagrams that arrived during the suspension are still in the socket; the
  // receiver drops those that are too old.
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    it->second->isSuspended = false;
    std::size_t count = 0;
    for (const auto& datagram : std::exchange(it->second->socketQueue, {})) {
      if (mNow - datagram.receivedAt <= Transport::kMaxDatagramAge) {
        it->second->engine.handleDatagram(datagram.data, mNow);
      }
      // Another thread may confirm the view between two batches.
      if (++count % kDatagramBatchSize == 0 &&
          !mProcessesWithoutViewUpdates.contains(aName)) {
        it->second->engine.confirmView(mNow);
      }
    }
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    it->second->isSuspended = false;
    for (const auto& datagram : std::exchange(it->second->socketQueue, {})) {
      if (mNow - datagram.receivedAt <= Transport::kMaxDatagramAge) {
        it->second->engine.handleDatagram(datagram.data, mNow);
      }
    }
  }
}

void
FleetSimulation::cutLink(const std::string& aOne, const std::string& aOther)
{
  mCutLinks.insert(std::minmax(aOne, aOther));
}

void
FleetSimulation::partitionZone(const std::string& aZone)
{
  for (const auto& [firstEndpoint, first] : mNamesByEndpoint) {
    for (const auto& [secondEndpoint, second] : mNamesByEndpoint) {
      const bool isInside = zoneName(first, mFleet.zoneCount) == aZone;
      const bool isOtherInside = zoneName(second, mFleet.zoneCount) == aZone;
      if (isInside != isOtherInside) {
        cutLink(first, second);
      }
    }
  }
}

void
FleetSimulation::restoreLinks()
{
  mCutLinks.clear();
}

bool
FleetSimulation::isLinkCut(const std::string& aOne,
                           const std::string& aOther) const
{
  return mCutLinks.contains(std::minmax(aOne, aOther));
}

void
FleetSimulation::startDraining(const std::string& aTarget)
{
  if (const auto it = mAgents.find(aTarget); it != mAgents.end()) {
    it->second->engine.startDraining(mNow);
  }
}

void
FleetSimulation::setWorkTime(const std::string& aTarget,
                             Core::Duration aWorkTime)
{
  mBackends.at(aTarget)->setWorkTime(aWorkTime);
}

void
FleetSimulation::setWorkTimeFunction(
  const std::string& aTarget,
  FakeBackend::WorkTimeFunction aWorkTimeFunction)
{
  mBackends.at(aTarget)->setWorkTimeFunction(std::move(aWorkTimeFunction));
}

void
FleetSimulation::setUnresponsive(const std::string& aTarget,
                                 bool aIsUnresponsive)
{
  mBackends.at(aTarget)->setUnresponsive(aIsUnresponsive);
}

void
FleetSimulation::send(const std::string& aFrom,
                      const Core::Endpoint& aTo,
                      absl::Span<const std::uint8_t> aData)
{
  const auto it = mNamesByEndpoint.find(aTo);
  if (it == mNamesByEndpoint.end() || isLinkCut(aFrom, it->second)) {
    return;
  }
  auto delay = mSettings.linkDelay;
  if (mSettings.jitter.count() > 0) {
    delay += Core::Duration(mRandom() % mSettings.jitter.count());
  }
  mPacketsInFlight.push_back({ mNow + delay,
                               ++mLastPacketNumber,
                               aFrom,
                               it->second,
                               Packet::Bytes(aData.begin(), aData.end()) });
  std::push_heap(
    mPacketsInFlight.begin(), mPacketsInFlight.end(), std::greater<>());
}

void
FleetSimulation::deliver(const PacketInFlight& aPacket)
{
  if (mSettings.isTraceEnabled) {
    trace(absl::StrCat(
      aPacket.from, " -> ", aPacket.to, " ", describeDatagram(aPacket.data)));
  }
  const auto receive = [&](auto& aProcess) {
    if (!aProcess.isSuspended) {
      aProcess.engine.handleDatagram(aPacket.data, mNow);
    } else if (aProcess.socketQueue.size() < kMaxSocketDatagrams) {
      aProcess.socketQueue.push_back({ mNow, aPacket.data });
    }
  };
  if (const auto it = mAgents.find(aPacket.to); it != mAgents.end()) {
    receive(*it->second);
  }
  if (const auto it = mBalancers.find(aPacket.to); it != mBalancers.end()) {
    receive(*it->second);
  }
}

void
FleetSimulation::deliverBackendPackets(const std::string& aTarget)
{
  const auto it = mAgents.find(aTarget);
  const bool isRunning = it != mAgents.end() && !it->second->isSuspended;
  if (!isRunning) {
    return;
  }
  for (const auto& packet : mBackends[aTarget]->takeDuePackets(mNow)) {
    it->second->engine.handleBackendPacket(packet, mNow);
  }
}

void
FleetSimulation::step()
{
  while (!mPacketsInFlight.empty() &&
         mPacketsInFlight.front().arrivesAt <= mNow) {
    std::pop_heap(
      mPacketsInFlight.begin(), mPacketsInFlight.end(), std::greater<>());
    const auto packet = std::move(mPacketsInFlight.back());
    mPacketsInFlight.pop_back();
    deliver(packet);
  }
  for (const auto& [name, process] : mAgents) {
    deliverBackendPackets(name);
    if (process->isSuspended) {
      continue;
    }
    const bool isUpdateBlocked = mProcessesWithoutViewUpdates.contains(name);
    if (!isUpdateBlocked &&
        mNow - process->confirmedAt >= kViewConfirmInterval) {
      process->confirmedAt = mNow;
      activateCurrentView(name);
      process->engine.confirmView(mNow);
    }
    process->engine.tick(mNow);
  }
}

void
FleetSimulation::advance(Core::Duration aDuration)
{
  const auto end = mNow + aDuration;
  while (mNow < end) {
    mNow += kStepDuration;
    mFlowsRefusedInStep.clear();
    step();
  }
}

void
FleetSimulation::sendFromCaller(CallerFlow& aFlow,
                                const Packet::Bytes& aPacket,
                                const std::string& aBalancer)
{
  mLastPackets[aFlow.name] = aPacket;
  std::vector<std::string> names;
  for (const auto& it : mBalancers) {
    names.push_back(it.first);
  }
  if (names.empty()) {
    return;
  }
  const auto balancer =
    aBalancer.empty() ? names[mRandom() % names.size()] : aBalancer;
  Packet::GuePacket gue;
  gue.body = aPacket;
  Packet::Bytes data;
  gue.appendTo(data);
  const auto arrivesAt = mNow + mSettings.linkDelay +
                         std::exchange(mNextPacketDelay, Core::Duration(0));
  mPacketsInFlight.push_back(
    { arrivesAt, ++mLastPacketNumber, "caller", balancer, data });
  std::push_heap(
    mPacketsInFlight.begin(), mPacketsInFlight.end(), std::greater<>());
}

void
FleetSimulation::openFlow(const std::string& aName,
                          std::uint16_t aPort,
                          const std::string& aBalancer)
{
  constexpr std::uint32_t kMemberAddress = 0x0a010000;
  constexpr std::uint32_t kNonMemberAddress = 0x0b010000;
  constexpr unsigned kPortBits = 16;
  CallerFlow flow;
  flow.name = aName;
  // When the port number wraps around, the next address is used, so that no
  // caller endpoint is used twice.
  flow.key.caller = { (mCallersAreMembers ? kMemberAddress
                                          : kNonMemberAddress) +
                        (mNextCallerNumber >> kPortBits),
                      static_cast<std::uint16_t>(mNextCallerNumber) };
  ++mNextCallerNumber;
  flow.key.service = { kServiceAddress, aPort };
  const bool isTcp = aPort == kTcpPort || aPort == kStreamPort;
  flow.key.protocol = isTcp ? Packet::Protocol::Tcp : Packet::Protocol::Udp;
  mFlowNamesByKey[flow.key] = aName;
  Packet::PacketBuilder builder(flow.key.protocol);
  builder.from(flow.key.caller).to(flow.key.service);
  if (isTcp) {
    builder.flags(Packet::kTcpSyn).sequence(flow.sequence);
  } else {
    builder.payload(absl::string_view(aName));
  }
  auto& stored = mFlows[aName] = flow;
  sendFromCaller(stored, builder.build(), aBalancer);
}

void
FleetSimulation::sendRequest(const std::string& aName,
                             const std::string& aText,
                             const std::string& aBalancer)
{
  auto& flow = mFlows.at(aName);
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(flow.key.caller)
    .to(flow.key.service)
    .flags(Packet::kTcpAck)
    .sequence(flow.sequence + 1)
    .acknowledgment(flow.backendSequence + 1)
    .payload(absl::string_view(aText));
  flow.sequence += static_cast<std::uint32_t>(aText.size());
  sendFromCaller(flow, builder.build(), aBalancer);
}

void
FleetSimulation::retransmit(const std::string& aName,
                            const std::string& aBalancer)
{
  const auto packet = mLastPackets.at(aName);
  sendFromCaller(mFlows.at(aName), packet, aBalancer);
}

void
FleetSimulation::closeFlow(const std::string& aName)
{
  sendClosingPacket(aName, Packet::kTcpFin | Packet::kTcpAck);
}

void
FleetSimulation::abortFlow(const std::string& aName)
{
  sendClosingPacket(aName, Packet::kTcpRst | Packet::kTcpAck);
}

void
FleetSimulation::sendClosingPacket(const std::string& aName,
                                   std::uint8_t aFlags)
{
  auto& flow = mFlows.at(aName);
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(flow.key.caller)
    .to(flow.key.service)
    .flags(aFlags)
    .sequence(flow.sequence + 1)
    .acknowledgment(flow.backendSequence + 1);
  sendFromCaller(flow, builder.build(), "");
}

void
FleetSimulation::deliverToCaller(absl::Span<const std::uint8_t> aPacket)
{
  constexpr std::size_t kIcmpPayloadOffset = 28;
  constexpr std::uint8_t kPortUnreachableCode = 3;
  const auto packet =
    Packet::PacketView::parse(aPacket, Packet::Verify::HeadersAndPayload);
  if (!packet.ok()) {
    const bool isIcmp = aPacket.size() > kIcmpPayloadOffset + 24;
    if (!isIcmp) {
      return;
    }
    const auto* quotedPacket = &aPacket[kIcmpPayloadOffset];
    Packet::FlowKey key;
    key.protocol = Packet::Protocol::Udp;
    key.caller = { Packet::load32(quotedPacket + 12),
                   Packet::load16(quotedPacket + 20) };
    key.service = { Packet::load32(quotedPacket + 16),
                    Packet::load16(quotedPacket + 22) };
    const auto it = mFlowNamesByKey.find(key);
    if (it == mFlowNamesByKey.end()) {
      return;
    }
    auto& flow = mFlows.at(it->second);
    const bool isRefusal = aPacket[21] == kPortUnreachableCode;
    if (isRefusal) {
      mFlowsRefusedInStep.push_back(it->second);
    }
    (isRefusal ? flow.isRefused : flow.isOutcomeUnknown) = true;
    return;
  }
  const auto it = mFlowNamesByKey.find(packet->flowFromBackend());
  if (it == mFlowNamesByKey.end()) {
    return;
  }
  auto& flow = mFlows.at(it->second);
  if (packet->hasFlag(Packet::kTcpRst)) {
    (flow.isEstablished ? flow.isReset : flow.isRefused) = true;
    return;
  }
  if (packet->hasFlag(Packet::kTcpSyn) && !flow.isEstablished) {
    flow.isEstablished = true;
    flow.backendSequence = packet->sequence();
    return;
  }
  if (!packet->payload().empty()) {
    ++flow.answerCount;
    const auto payload = packet->payload();
    flow.answerTexts.emplace(payload.begin(), payload.end());
  }
}

const CallerFlow&
FleetSimulation::flow(const std::string& aName) const
{
  return mFlows.at(aName);
}

std::size_t
FleetSimulation::runCount(const std::string& aRequest) const
{
  return std::count_if(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
    return aRun.request == aRequest;
  });
}

std::string
FleetSimulation::homeTarget(const std::string& aFlow) const
{
  const auto& key = mFlows.at(aFlow).key;
  const auto& service = mView->services().front();
  const auto homes =
    service.homeSelector.homes(Routing::FlowHasher(mFlowHashKey).hash(key));
  return homes.empty() ? "" : service.targets[homes[0]].target->name;
}

std::string
FleetSimulation::ownerTarget(const std::string& aFlow) const
{
  const auto& key = mFlows.at(aFlow).key;
  for (const auto& it : mRuns) {
    if (it.flow == key) {
      return it.target;
    }
  }
  for (const auto& [name, backend] : mBackends) {
    const auto flows = backend->openFlows();
    if (std::find(flows.begin(), flows.end(), key) != flows.end()) {
      return name;
    }
  }
  return "";
}

std::uint64_t
FleetSimulation::counter(const std::string& aTarget,
                         Ownership::AgentCounter aCounter) const
{
  const auto it = mAgents.find(aTarget);
  return it == mAgents.end() ? 0
                             : it->second->engine.counters().value(aCounter);
}

Ownership::Load
FleetSimulation::load(const std::string& aTarget) const
{
  const auto it = mAgents.find(aTarget);
  return it == mAgents.end() ? Ownership::Load{}
                             : it->second->engine.load(mNow);
}

std::vector<std::string>
FleetSimulation::violations() const
{
  std::vector<std::string> found;
  std::map<Packet::FlowKey, std::set<std::string>> targetsByFlow;
  std::map<std::string, int> runCounts;
  for (const auto& it : mRuns) {
    if (!mFlowNamesByKey.contains(it.flow)) {
      continue;
    }
    targetsByFlow[it.flow].insert(it.target);
    const bool isNonIdempotent =
      it.flow.service.port == kOncePort || it.flow.service.port == kTcpPort;
    if (isNonIdempotent && ++runCounts[it.request] == 2) {
      found.push_back("request " + it.request + " ran twice");
    }
    if (it.flow.service.address != kServiceAddress) {
      found.push_back("request " + it.request + " ran at another service");
    }
  }
  for (const auto& [flow, names] : targetsByFlow) {
    const bool isIdempotentUdp = flow.service.port == kUdpPort;
    if (names.size() > 1 && !isIdempotentUdp) {
      found.push_back("flow " + mFlowNamesByKey.at(flow) +
                      " ran at two targets");
    }
  }
  for (const auto& it : mFlows) {
    const auto& name = it.first;
    const auto& flow = it.second;
    if (flow.isRefused && flow.key.service.port != kUdpPort &&
        runCount(name) > 0) {
      found.push_back("flow " + name + " ran and was refused as not run");
    }
    const auto isOtherFlowsAnswer = [&name](const std::string& aText) {
      return aText.rfind(name, 0) != 0;
    };
    if (std::any_of(flow.answerTexts.begin(),
                    flow.answerTexts.end(),
                    isOtherFlowsAnswer)) {
      found.push_back("flow " + name + " received the answer of another flow");
    }
  }
  return found;
}

} // namespace Simulation
