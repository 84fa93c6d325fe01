#include "world/world.h"

#include "packet/byteorder.h"
#include "transport/datagrambatch.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <iostream>

namespace World {

namespace {

constexpr std::chrono::milliseconds kTick{ 1 };
constexpr std::chrono::milliseconds kConfirmInterval{ 1'000 };
/** Room of a socket's buffer while its process sleeps. */
constexpr std::size_t kSocketDatagrams = 400;
/** A process reads at most so many datagrams at once. */
constexpr std::size_t kBatch = 8;

/** What a datagram is, in words. */
std::string
describe(const Packet::Bytes& aData)
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

/** One packet on its way. */
struct World::Parcel
{
  Core::TimePoint at;
  std::uint64_t number = 0;
  std::string from;
  std::string to;
  Packet::Bytes data;

  bool operator>(const Parcel& aOther) const
  {
    return std::pair(at, number) > std::pair(aOther.at, aOther.number);
  }
};

/** A datagram in the socket of a process that sleeps. */
struct World::Waiting
{
  Core::TimePoint at;
  Packet::Bytes data;
};

struct World::AgentPort
{
  World& world;
  std::string name;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    world.send(name, aTo, aData);
  }
  void deliver(absl::Span<const std::uint8_t> aPacket)
  {
    world.trace("delivered at " + name);
    world.mBackends[name]->handlePacket(aPacket, world.mNow);
  }
  void sendToCaller(absl::Span<const std::uint8_t> aPacket)
  {
    world.toCaller(aPacket);
  }
};

struct World::BalancerOutput
{
  World& world;
  std::string name;

  void send(const Core::Endpoint& aTo, absl::Span<const std::uint8_t> aData)
  {
    world.send(name, aTo, aData);
  }
};

struct World::AgentProcess
{
  AgentProcess(World& aWorld,
               const std::string& aName,
               const Ownership::AgentIdentity& aSelf)
    : port{ aWorld, aName }
    , engine(port, aSelf, aWorld.mKey, aWorld.mEvents, aWorld.mHistograms)
  {
  }

  AgentPort port;
  Ownership::AgentEngine<AgentPort> engine;
  bool isPaused = false;
  std::deque<Waiting> socket;
  Core::TimePoint confirmedAt{};
};

struct World::BalancerProcess
{
  BalancerProcess(World& aWorld, const std::string& aName)
    : port{ aWorld, aName }
    , engine(port, endpointOf(aName), aWorld.mKey)
  {
  }

  BalancerOutput port;
  Balancing::BalancerEngine<BalancerOutput> engine;
  bool isPaused = false;
  std::deque<Waiting> socket;
};

World::World(const WorldSettings& aSettings)
  : mSettings(aSettings)
  , mShape(aSettings.shape)
  , mView(buildView(mShape))
  , mRandom(aSettings.seed)
  , mNow(std::chrono::hours(1))
  , mEvents({ "world", "off", false })
{
  for (const auto& name : mShape.targets) {
    startAgent(name);
  }
  for (std::size_t i = 1; i <= mShape.balancers; ++i) {
    startBalancer(absl::StrCat("b", i));
  }
}

World::~World() = default;

void
World::trace(const std::string& aText) const
{
  if (mSettings.isTraced) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch());
    std::cout << time.count() << " ms " << aText << "\n";
  }
}

void
World::startAgent(const std::string& aName)
{
  if (!mBackends.contains(aName)) {
    mBackends[aName] = std::make_unique<FakeBackend>(aName, mRuns);
  }
  mNames[endpointOf(aName)] = aName;
  Ownership::AgentIdentity self;
  self.name = aName;
  self.target = Config::identityOf(aName);
  self.endpoint = endpointOf(aName);
  self.claimer = ++mClaimers;
  self.incarnation = mClaimers;
  self.startedAt = mNow;
  mAgents[aName] = std::make_unique<AgentProcess>(*this, aName, self);
  giveView(aName);
  mAgents[aName]->engine.adoptFlows(mBackends[aName]->heldFlows(), mNow);
}

void
World::startBalancer(const std::string& aName)
{
  mNames[endpointOf(aName)] = aName;
  mBalancers[aName] = std::make_unique<BalancerProcess>(*this, aName);
  giveView(aName);
}

void
World::giveView(const std::string& aName)
{
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    static_cast<void>(it->second->engine.activateView(mView, mNow));
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    static_cast<void>(it->second->engine.activateView(mView, mNow));
  }
}

void
World::promote(const std::function<void(FleetShape&)>& aChange)
{
  aChange(mShape);
  ++mShape.revision;
  mView = buildView(mShape);
  for (const auto& name : mShape.targets) {
    if (!mBackends.contains(name)) {
      startAgent(name);
    }
  }
  for (const auto& [name, process] : mAgents) {
    if (!mHeld.contains(name) && !process->isPaused) {
      giveView(name);
    }
  }
  for (const auto& [name, process] : mBalancers) {
    if (!mHeld.contains(name) && !process->isPaused) {
      giveView(name);
    }
  }
}

void
World::release(const std::string& aName)
{
  mHeld.erase(aName);
  giveView(aName);
}

bool
World::isAlive(const std::string& aName) const
{
  return mAgents.contains(aName) || mBalancers.contains(aName);
}

void
World::kill(const std::string& aName)
{
  mAgents.erase(aName);
  mBalancers.erase(aName);
}

void
World::restart(const std::string& aName)
{
  kill(aName);
  if (aName.front() == 'b') {
    startBalancer(aName);
  } else {
    startAgent(aName);
  }
}

void
World::pause(const std::string& aName)
{
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    it->second->isPaused = true;
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    it->second->isPaused = true;
  }
}

void
World::resume(const std::string& aName)
{
  // What came while the process slept waits in its socket; its receivers drop
  // what is old.
  if (const auto it = mAgents.find(aName); it != mAgents.end()) {
    it->second->isPaused = false;
    std::size_t count = 0;
    for (const auto& waiting : std::exchange(it->second->socket, {})) {
      if (mNow - waiting.at <= Transport::kMaxDatagramAge) {
        it->second->engine.handleDatagram(waiting.data, mNow);
      }
      // Another task may have the view confirmed between two batches.
      if (++count % kBatch == 0 && !mHeld.contains(aName)) {
        it->second->engine.confirmView(mNow);
      }
    }
  }
  if (const auto it = mBalancers.find(aName); it != mBalancers.end()) {
    it->second->isPaused = false;
    for (const auto& waiting : std::exchange(it->second->socket, {})) {
      if (mNow - waiting.at <= Transport::kMaxDatagramAge) {
        it->second->engine.handleDatagram(waiting.data, mNow);
      }
    }
  }
}

void
World::cut(const std::string& aOne, const std::string& aOther)
{
  mCuts.insert(std::minmax(aOne, aOther));
}

void
World::cutZone(const std::string& aZone)
{
  for (const auto& [one, a] : mNames) {
    for (const auto& [two, b] : mNames) {
      const bool isInside = zoneOf(a, mShape.zones) == aZone;
      const bool isOtherInside = zoneOf(b, mShape.zones) == aZone;
      if (isInside != isOtherInside) {
        cut(a, b);
      }
    }
  }
}

void
World::heal()
{
  mCuts.clear();
}

bool
World::isCut(const std::string& aOne, const std::string& aOther) const
{
  return mCuts.contains(std::minmax(aOne, aOther));
}

void
World::startDraining(const std::string& aTarget)
{
  if (const auto it = mAgents.find(aTarget); it != mAgents.end()) {
    it->second->engine.startDraining(mNow);
  }
}

void
World::setWork(const std::string& aTarget, Core::Duration aWork)
{
  mBackends.at(aTarget)->setWork(aWork);
}

void
World::setWorkOf(const std::string& aTarget, FakeBackend::WorkOf aWorkOf)
{
  mBackends.at(aTarget)->setWorkOf(std::move(aWorkOf));
}

void
World::setDeaf(const std::string& aTarget, bool aIsDeaf)
{
  mBackends.at(aTarget)->setDeaf(aIsDeaf);
}

void
World::send(const std::string& aFrom,
            const Core::Endpoint& aTo,
            absl::Span<const std::uint8_t> aData)
{
  const auto it = mNames.find(aTo);
  if (it == mNames.end() || isCut(aFrom, it->second)) {
    return;
  }
  auto delay = mSettings.linkDelay;
  if (mSettings.jitter.count() > 0) {
    delay += Core::Duration(mRandom() % mSettings.jitter.count());
  }
  mParcels.push_back({ mNow + delay,
                       ++mParcelNumber,
                       aFrom,
                       it->second,
                       Packet::Bytes(aData.begin(), aData.end()) });
  std::push_heap(mParcels.begin(), mParcels.end(), std::greater<>());
}

void
World::deliver(const Parcel& aParcel)
{
  if (mSettings.isTraced) {
    trace(absl::StrCat(
      aParcel.from, " -> ", aParcel.to, " ", describe(aParcel.data)));
  }
  const auto take = [&](auto& aProcess) {
    if (!aProcess.isPaused) {
      aProcess.engine.handleDatagram(aParcel.data, mNow);
    } else if (aProcess.socket.size() < kSocketDatagrams) {
      aProcess.socket.push_back({ mNow, aParcel.data });
    }
  };
  if (const auto it = mAgents.find(aParcel.to); it != mAgents.end()) {
    take(*it->second);
  }
  if (const auto it = mBalancers.find(aParcel.to); it != mBalancers.end()) {
    take(*it->second);
  }
}

void
World::takeFromBackend(const std::string& aTarget)
{
  const auto it = mAgents.find(aTarget);
  const bool isUp = it != mAgents.end() && !it->second->isPaused;
  if (!isUp) {
    return;
  }
  for (const auto& packet : mBackends[aTarget]->takeDue(mNow)) {
    it->second->engine.handleBackendPacket(packet, mNow);
  }
}

void
World::step()
{
  while (!mParcels.empty() && mParcels.front().at <= mNow) {
    std::pop_heap(mParcels.begin(), mParcels.end(), std::greater<>());
    const auto parcel = std::move(mParcels.back());
    mParcels.pop_back();
    deliver(parcel);
  }
  for (const auto& [name, process] : mAgents) {
    takeFromBackend(name);
    if (process->isPaused) {
      continue;
    }
    const bool isHeld = mHeld.contains(name);
    if (!isHeld && mNow - process->confirmedAt >= kConfirmInterval) {
      process->confirmedAt = mNow;
      giveView(name);
      process->engine.confirmView(mNow);
    }
    process->engine.tick(mNow);
  }
}

void
World::advance(Core::Duration aTime)
{
  const auto end = mNow + aTime;
  while (mNow < end) {
    mNow += kTick;
    mRefusedInStep.clear();
    step();
  }
}

void
World::sendFromCaller(CallerFlow& aFlow,
                      const Packet::Bytes& aPacket,
                      const std::string& aBalancer)
{
  mLastPacket[aFlow.name] = aPacket;
  std::vector<std::string> names;
  for (const auto& it : mBalancers) {
    names.push_back(it.first);
  }
  if (names.empty()) {
    return;
  }
  const auto to =
    aBalancer.empty() ? names[mRandom() % names.size()] : aBalancer;
  Packet::GuePacket gue;
  gue.body = aPacket;
  Packet::Bytes data;
  gue.appendTo(data);
  const auto at =
    mNow + mSettings.linkDelay + std::exchange(mNextDelay, Core::Duration(0));
  mParcels.push_back({ at, ++mParcelNumber, "caller", to, data });
  std::push_heap(mParcels.begin(), mParcels.end(), std::greater<>());
}

void
World::openFlow(const std::string& aName,
                std::uint16_t aPort,
                const std::string& aBalancer)
{
  constexpr std::uint32_t kMembers = 0x0a010000;
  constexpr std::uint32_t kOthers = 0x0b010000;
  constexpr unsigned kPortBits = 16;
  CallerFlow flow;
  flow.name = aName;
  // Ports come again only after more flows than any world keeps.
  flow.key.caller = { (mAreMembers ? kMembers : kOthers) +
                        (mNextCaller >> kPortBits),
                      static_cast<std::uint16_t>(mNextCaller) };
  ++mNextCaller;
  flow.key.service = { kServiceAddress, aPort };
  const bool isTcp = aPort == kTcpPort || aPort == kStreamPort;
  flow.key.protocol = isTcp ? Packet::Protocol::Tcp : Packet::Protocol::Udp;
  mFlowNames[flow.key] = aName;
  Packet::PacketBuilder builder(flow.key.protocol);
  builder.from(flow.key.caller).to(flow.key.service);
  if (isTcp) {
    builder.flags(Packet::kTcpSyn).sequence(flow.sequence);
  } else {
    builder.payload(absl::string_view(aName));
  }
  auto& kept = mFlows[aName] = flow;
  sendFromCaller(kept, builder.build(), aBalancer);
}

void
World::say(const std::string& aName,
           const std::string& aText,
           const std::string& aBalancer)
{
  auto& flow = mFlows.at(aName);
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(flow.key.caller)
    .to(flow.key.service)
    .flags(Packet::kTcpAck)
    .sequence(flow.sequence + 1)
    .acknowledgment(flow.peerSequence + 1)
    .payload(absl::string_view(aText));
  flow.sequence += static_cast<std::uint32_t>(aText.size());
  sendFromCaller(flow, builder.build(), aBalancer);
}

void
World::repeat(const std::string& aName, const std::string& aBalancer)
{
  const auto packet = mLastPacket.at(aName);
  sendFromCaller(mFlows.at(aName), packet, aBalancer);
}

void
World::closeFlow(const std::string& aName)
{
  sendEnd(aName, Packet::kTcpFin | Packet::kTcpAck);
}

void
World::abortFlow(const std::string& aName)
{
  sendEnd(aName, Packet::kTcpRst | Packet::kTcpAck);
}

void
World::sendEnd(const std::string& aName, std::uint8_t aFlags)
{
  auto& flow = mFlows.at(aName);
  Packet::PacketBuilder builder(Packet::Protocol::Tcp);
  builder.from(flow.key.caller)
    .to(flow.key.service)
    .flags(aFlags)
    .sequence(flow.sequence + 1)
    .acknowledgment(flow.peerSequence + 1);
  sendFromCaller(flow, builder.build(), "");
}

void
World::toCaller(absl::Span<const std::uint8_t> aPacket)
{
  constexpr std::size_t kQuotedOffset = 28;
  constexpr std::uint8_t kPortUnreachable = 3;
  const auto packet =
    Packet::PacketView::parse(aPacket, Packet::Verify::HeadersAndPayload);
  if (!packet.ok()) {
    const bool isIcmp = aPacket.size() > kQuotedOffset + 24;
    if (!isIcmp) {
      return;
    }
    const auto* quoted = &aPacket[kQuotedOffset];
    Packet::FlowKey key;
    key.protocol = Packet::Protocol::Udp;
    key.caller = { Packet::load32(quoted + 12), Packet::load16(quoted + 20) };
    key.service = { Packet::load32(quoted + 16), Packet::load16(quoted + 22) };
    const auto it = mFlowNames.find(key);
    if (it == mFlowNames.end()) {
      return;
    }
    auto& flow = mFlows.at(it->second);
    const bool isRefusal = aPacket[21] == kPortUnreachable;
    if (isRefusal) {
      mRefusedInStep.push_back(it->second);
    }
    (isRefusal ? flow.isRefused : flow.isUnknown) = true;
    return;
  }
  const auto it = mFlowNames.find(packet->flowFromBackend());
  if (it == mFlowNames.end()) {
    return;
  }
  auto& flow = mFlows.at(it->second);
  if (packet->hasFlag(Packet::kTcpRst)) {
    (flow.isEstablished ? flow.isReset : flow.isRefused) = true;
    return;
  }
  if (packet->hasFlag(Packet::kTcpSyn) && !flow.isEstablished) {
    flow.isEstablished = true;
    flow.peerSequence = packet->sequence();
    return;
  }
  if (!packet->payload().empty()) {
    ++flow.answers;
    const auto payload = packet->payload();
    flow.answerTexts.emplace(payload.begin(), payload.end());
  }
}

const CallerFlow&
World::flow(const std::string& aName) const
{
  return mFlows.at(aName);
}

std::size_t
World::runsOf(const std::string& aRequest) const
{
  return std::count_if(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
    return aRun.request == aRequest;
  });
}

std::string
World::homeOf(const std::string& aFlow) const
{
  const auto& key = mFlows.at(aFlow).key;
  const auto& service = mView->services().front();
  const auto homes =
    service.homeSelector.homes(Routing::FlowHasher(mKey).hash(key));
  return homes.empty() ? "" : service.targets[homes[0]].target->name;
}

std::string
World::ownerOf(const std::string& aFlow) const
{
  const auto& key = mFlows.at(aFlow).key;
  for (const auto& it : mRuns) {
    if (it.flow == key) {
      return it.target;
    }
  }
  for (const auto& [name, backend] : mBackends) {
    const auto flows = backend->heldFlows();
    if (std::find(flows.begin(), flows.end(), key) != flows.end()) {
      return name;
    }
  }
  return "";
}

std::uint64_t
World::counter(const std::string& aTarget,
               Ownership::AgentCounter aCounter) const
{
  const auto it = mAgents.find(aTarget);
  return it == mAgents.end() ? 0
                             : it->second->engine.counters().value(aCounter);
}

Ownership::Load
World::load(const std::string& aTarget) const
{
  const auto it = mAgents.find(aTarget);
  return it == mAgents.end() ? Ownership::Load{}
                             : it->second->engine.load(mNow);
}

std::vector<std::string>
World::brokenPromises() const
{
  std::vector<std::string> broken;
  std::map<Packet::FlowKey, std::set<std::string>> targets;
  std::map<std::string, int> runs;
  for (const auto& it : mRuns) {
    if (!mFlowNames.contains(it.flow)) {
      continue;
    }
    targets[it.flow].insert(it.target);
    const bool isOnce =
      it.flow.service.port == kOncePort || it.flow.service.port == kTcpPort;
    if (isOnce && ++runs[it.request] == 2) {
      broken.push_back("request " + it.request + " ran twice");
    }
    if (it.flow.service.address != kServiceAddress) {
      broken.push_back("request " + it.request + " ran at another service");
    }
  }
  for (const auto& [flow, names] : targets) {
    const bool isIdempotentUdp = flow.service.port == kUdpPort;
    if (names.size() > 1 && !isIdempotentUdp) {
      broken.push_back("flow " + mFlowNames.at(flow) + " ran at two targets");
    }
  }
  for (const auto& it : mFlows) {
    const auto& name = it.first;
    const auto& flow = it.second;
    if (flow.isRefused && flow.key.service.port != kUdpPort &&
        runsOf(name) > 0) {
      broken.push_back("flow " + name + " ran and was refused as not run");
    }
    const auto isForeignText = [&name](const std::string& aText) {
      return aText.rfind(name, 0) != 0;
    };
    if (std::any_of(
          flow.answerTexts.begin(), flow.answerTexts.end(), isForeignText)) {
      broken.push_back("flow " + name + " got another's answer");
    }
  }
  return broken;
}

} // namespace World
