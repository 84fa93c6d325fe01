#include "flowworld/flowworld.h"

#include "steering/fleetmapbuilder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace FlowWorld {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds kStep{ 1 };
constexpr std::chrono::microseconds kInZone{ 200 };
constexpr std::chrono::microseconds kBetweenZones{ 4'500 };
constexpr std::chrono::milliseconds kToCallers{ 2 };
constexpr std::chrono::milliseconds kFrozenCheck{ 20 };
constexpr std::uint16_t kAgentPort = 8172;
constexpr std::uint16_t kOwnPort = 7720;
constexpr std::uint32_t kBalancerNet = 0x0A010000;
constexpr std::uint32_t kSideNet = 0x0A020000;
constexpr std::uint32_t kCallerNet = 0x64400000;
constexpr std::uint32_t kRouteNet = 0xC6120000;
constexpr Core::TimePoint kStart{ 1'000s };
const char* const kServices[] = { "red", "blue" };

const Steering::RetransmissionSchedule kAttempts{ { 0ms, 200ms, 600ms },
                                                  1'400ms };

Core::Endpoint
routeOf(const std::string& aService)
{
  return { kRouteNet + (aService == kServices[0] ? 1U : 2U), 443 };
}

} // namespace

struct World::BalancerOutput
{
  World& world;
  std::string name;
  std::size_t zone;

  void sendToAgent(const Core::Endpoint& aTo,
                   absl::Span<const std::uint8_t> aData)
  {
    world.toAgent(name, aTo, Bytes(aData.begin(), aData.end()));
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    world.toCaller(zone, Bytes(aData.begin(), aData.end()), true);
  }
};

struct World::AgentPort
{
  World& world;
  std::string side;
  std::size_t zone;
  Core::Endpoint agent;

  void sendToBalancer(const Core::Endpoint& aTo,
                      absl::Span<const std::uint8_t> aData)
  {
    world.toBalancer(agent, aTo, Bytes(aData.begin(), aData.end()));
  }
  void deliver(absl::Span<const std::uint8_t> aData)
  {
    world.toTarget(side, Bytes(aData.begin(), aData.end()));
  }
  void sendToCaller(const Core::Endpoint& /*aTo*/,
                    absl::Span<const std::uint8_t> aData)
  {
    world.toCaller(zone, Bytes(aData.begin(), aData.end()), false);
  }
};

struct World::Balancer
{
  std::string name;
  std::size_t zone;
  Core::Endpoint endpoint;
  std::unique_ptr<BalancerOutput> port;
  /** Null while it does not run. */
  std::unique_ptr<
    Steering::FlowSteerer<Platform::DatagramFormat, BalancerOutput>>
    engine;
};

struct World::Side
{
  std::string name;
  std::string service;
  std::size_t zone;
  Core::Endpoint agent;
  Steering::TargetState state = Steering::TargetState::Accepting;
  bool isAnnounced = true;
  std::unique_ptr<AgentPort> port;
  /** Null while the agent does not run. */
  std::unique_ptr<
    Steering::AdmissionController<Platform::DatagramFormat, AgentPort>>
    gate;
  /** Null after a crash. */
  std::unique_ptr<FakeTarget> target;
};

World::World(const FlowWorldSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mEvents({ "world", "off", false })
  , mNow(kStart)
{
  for (std::size_t i = 0; i < aSettings.targets; ++i) {
    for (const auto* service : kServices) {
      newSide(service, { kSideNet + mNextAddress++, kAgentPort });
    }
  }
  for (std::size_t i = 0; i < kZones * aSettings.balancersPerZone; ++i) {
    auto balancer = std::make_unique<Balancer>();
    balancer->name = absl::StrCat("b", i + 1);
    balancer->zone = i % kZones;
    balancer->endpoint = { kBalancerNet + static_cast<std::uint32_t>(i) + 1,
                           kOwnPort };
    balancer->port = std::make_unique<BalancerOutput>(
      BalancerOutput{ *this, balancer->name, balancer->zone });
    mBalancers[balancer->name] = std::move(balancer);
  }
  for (const auto& name : balancerNames()) {
    startBalancer(name);
  }
}

World::~World() = default;

std::string
World::newSide(const std::string& aService, Core::Endpoint aAgent)
{
  auto side = std::make_unique<Side>();
  auto name = absl::StrCat("t", mSides.size() + 1);
  side->name = name;
  side->service = aService;
  side->zone = (mSides.size() / 2) % kZones;
  side->agent = aAgent;
  side->port =
    std::make_unique<AgentPort>(AgentPort{ *this, name, side->zone, aAgent });
  side->target = std::make_unique<FakeTarget>(
    aService, name, mSettings.slots, (mSides.size() + 1) * 10'000, mRuns);
  mSideNames[Steering::endpointKey(aAgent)] = name;
  mSides[name] = std::move(side);
  startAgent(name);
  return name;
}

std::vector<std::string>
World::balancerNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, balancer] : mBalancers) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string>
World::targetNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, side] : mSides) {
    names.push_back(name);
  }
  return names;
}

void
World::killBalancer(const std::string& aName)
{
  mBalancers.at(aName)->engine.reset();
}

void
World::startBalancer(const std::string& aName, bool aHasMap)
{
  auto& balancer = *mBalancers.at(aName);
  balancer.engine = std::make_unique<
    Steering::FlowSteerer<Platform::DatagramFormat, BalancerOutput>>(
    *balancer.port,
    Steering::BalancerConfig{ absl::StrCat("z", balancer.zone), kAttempts },
    mEvents);
  if (aHasMap) {
    giveMap(balancer);
  }
}

void
World::killAgent(const std::string& aTarget)
{
  mSides.at(aTarget)->gate.reset();
}

void
World::startAgent(const std::string& aTarget)
{
  auto& side = *mSides.at(aTarget);
  side.gate = std::make_unique<
    Steering::AdmissionController<Platform::DatagramFormat, AgentPort>>(
    *side.port,
    Steering::AgentConfig{ side.service },
    mEvents,
    mHistograms,
    mNow);
}

void
World::killTarget(const std::string& aTarget)
{
  auto& side = *mSides.at(aTarget);
  side.target.reset();
  side.isAnnounced = false;
  publish();
}

std::string
World::addTarget(const std::string& aService)
{
  auto name = newSide(aService, { kSideNet + mNextAddress++, kAgentPort });
  publish();
  return name;
}

void
World::drainTarget(const std::string& aTarget)
{
  mSides.at(aTarget)->state = Steering::TargetState::Draining;
  publish();
}

void
World::reuseAddress(const std::string& aTarget, const std::string& aService)
{
  const auto agent = mSides.at(aTarget)->agent;
  killTarget(aTarget);
  killAgent(aTarget);
  newSide(aService, agent);
  publish();
}

void
World::setWork(const std::string& aTarget, Core::Duration aWork)
{
  mSides.at(aTarget)->target->setWork(aWork);
}

void
World::releaseMaps(const std::string& aBalancer)
{
  mHeld.erase(aBalancer);
  auto& balancer = *mBalancers.at(aBalancer);
  if (balancer.engine != nullptr) {
    giveMap(balancer);
  }
}

const FakeTarget*
World::target(const std::string& aName) const
{
  return mSides.at(aName)->target.get();
}

bool
World::isAlive(const std::string& aTarget) const
{
  return mSides.at(aTarget)->target != nullptr;
}

Steering::FleetMapPointer
World::buildMap(const Steering::FleetMapPointer& aEarlier)
{
  Steering::FleetMapBuilder builder;
  builder.version(1).revision(mRevision);
  for (const auto* service : kServices) {
    Steering::RouteDeclaration declaration;
    declaration.address = routeOf(service);
    declaration.shares.push_back({ service, 1 });
    declaration.route.flowType = Steering::FlowType::ManyRequests;
    declaration.route.latencyObjective = 300ms;
    declaration.route.timeout = 4'000ms;
    builder.route(std::move(declaration));
  }
  for (const auto& [name, side] : mSides) {
    if (side->isAnnounced) {
      Steering::Target target;
      target.agent = side->agent;
      target.name = name;
      target.zone = absl::StrCat("z", side->zone);
      target.slots = mSettings.slots;
      target.state = side->state;
      builder.target(side->service, std::move(target));
    }
  }
  if (aEarlier != nullptr) {
    builder.keepRemovedTargets(*aEarlier, mNow);
  }
  return builder.build();
}

void
World::publish()
{
  ++mRevision;
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->engine != nullptr && !mHeld.contains(name)) {
      giveMap(*balancer);
    }
  }
}

void
World::giveMap(Balancer& aBalancer)
{
  aBalancer.engine->setMap(buildMap(aBalancer.engine->map()), mNow);
  aBalancer.engine->setPlatformReachable(true);
}

FlowCaller&
World::open(const std::string& aService,
            std::size_t aZone,
            std::size_t aRequests,
            Core::Duration aPause)
{
  std::vector<std::string> requests;
  for (std::size_t i = 0; i < aRequests; ++i) {
    requests.push_back(absl::StrCat("r", mNextRequest++));
    mServiceOfRequest[requests.back()] = aService;
  }
  const Packet::FlowKey flow{ { kCallerNet + 7, mNextCaller++ },
                              routeOf(aService) };
  mCallers.push_back(
    std::make_unique<FlowCaller>(flow, std::move(requests), aPause, mNow));
  mCallerOf[flow] = { mCallers.back().get(), aZone };
  return *mCallers.back();
}

void
World::advance(Core::Duration aTime)
{
  const auto end = mNow + aTime;
  while (mNow < end) {
    mNow += kStep;
    step();
  }
}

void
World::step()
{
  while (!mParcels.empty() && mParcels.top().at <= mNow) {
    const auto deliver = mParcels.top().deliver;
    mParcels.pop();
    deliver();
  }
  for (auto& [flow, entry] : mCallerOf) {
    for (const auto& packet : entry.first->takeDue(mNow)) {
      spray(entry.second, packet);
    }
  }
  for (auto& [name, side] : mSides) {
    if (side->target != nullptr) {
      for (const auto& packet : side->target->takeDue(mNow)) {
        fromTarget(name, packet);
      }
    }
    if (side->gate != nullptr && !mFrozen.contains(name)) {
      side->gate->tick(mNow);
    }
  }
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->engine != nullptr && !mFrozen.contains(name)) {
      balancer->engine->tick(mNow);
    }
  }
}

void
World::post(std::size_t aFromZone,
            std::size_t aToZone,
            std::function<void()> aDeliver)
{
  if (std::uniform_real_distribution<>(0, 1)(mRandom) < mSettings.loss) {
    return;
  }
  const Core::Duration delay = aFromZone == aToZone
                                 ? Core::Duration(kInZone)
                                 : Core::Duration(kBetweenZones);
  mParcels.push({ mNow + delay, ++mParcelNumber, std::move(aDeliver) });
}

void
World::spray(std::size_t aZone, const Bytes& aPacket)
{
  std::vector<Balancer*> inRotation;
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->zone == aZone && balancer->engine != nullptr) {
      inRotation.push_back(balancer.get());
    }
  }
  if (inRotation.empty()) {
    return;
  }
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromCaller();
  auto* balancer = inRotation[Steering::flowHash(flow) % inRotation.size()];
  mParcels.push({ mNow + kToCallers, ++mParcelNumber, [=, this] {
                   if (mFrozen.contains(balancer->name)) {
                     mParcels.push({ mNow + kFrozenCheck,
                                     ++mParcelNumber,
                                     [=, this] { spray(aZone, aPacket); } });
                   } else if (balancer->engine != nullptr) {
                     balancer->engine->handleCallerPacket(aPacket, mNow);
                   }
                 } });
}

void
World::toAgent(const std::string& aFrom,
               const Core::Endpoint& aTo,
               const Bytes& aData)
{
  const auto& balancer = *mBalancers.at(aFrom);
  const auto it = mSideNames.find(Steering::endpointKey(aTo));
  if (it == mSideNames.end()) {
    return;
  }
  auto& side = *mSides.at(it->second);
  const auto message = Steering::AgentMessage::parse(aData);
  if (message.ok() && message->kind == Steering::MessageKind::OwnerQuery) {
    ++mQuestions;
  }
  const auto from = balancer.endpoint;
  post(balancer.zone, side.zone, [this, &side, from, aData] {
    if (side.gate != nullptr && !mFrozen.contains(side.name)) {
      side.gate->handleBalancerMessage(from, aData, mNow);
    }
  });
}

void
World::toBalancer(const Core::Endpoint& aFrom,
                  const Core::Endpoint& aTo,
                  const Bytes& aData)
{
  const auto& side = *mSides.at(mSideNames.at(Steering::endpointKey(aFrom)));
  for (auto& [name, balancer] : mBalancers) {
    if (balancer->endpoint == aTo) {
      auto* to = balancer.get();
      post(side.zone, to->zone, [this, to, aFrom, aData] {
        if (to->engine != nullptr && !mFrozen.contains(to->name)) {
          to->engine->handleAgentMessage(aFrom, aData, mNow);
        }
      });
    }
  }
}

void
World::toTarget(const std::string& aSide, const Bytes& aPacket)
{
  auto& side = *mSides.at(aSide);
  if (side.target == nullptr) {
    return;
  }
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromCaller();
  if (flow.service != routeOf(side.service)) {
    mBroken.push_back(absl::StrCat("a packet of another service at ", aSide));
  }
  for (const auto& packet : side.target->handlePacket(aPacket, mNow)) {
    fromTarget(aSide, packet);
  }
}

void
World::fromTarget(const std::string& aSide, const Bytes& aPacket)
{
  auto& side = *mSides.at(aSide);
  // Through a parcel of no delay, so that the agent is not entered twice.
  mParcels.push({ mNow, ++mParcelNumber, [this, &side, aPacket] {
                   if (side.gate != nullptr && !mFrozen.contains(side.name)) {
                     side.gate->handleTargetPacket(aPacket, mNow);
                   }
                 } });
}

void
World::toCaller(std::size_t /*aFromZone*/,
                const Bytes& aPacket,
                bool aIsOwnReset)
{
  const auto flow = Platform::Datagram::parse(aPacket)->flowFromBackend();
  const auto it = mCallerOf.find(flow);
  if (it == mCallerOf.end()) {
    mBroken.push_back("a packet for a caller that is none");
    return;
  }
  auto* caller = it->second.first;
  mParcels.push({ mNow + kToCallers, ++mParcelNumber, [=, this] {
                   if (aIsOwnReset) {
                     checkReset(*caller);
                   }
                   caller->handlePacket(aPacket, mNow);
                   for (const auto& packet : caller->takeDue(mNow)) {
                     spray(mCallerOf.at(caller->flow()).second, packet);
                   }
                 } });
}

/** A reset of ours must not meet an open flow that a target holds. */
void
World::checkReset(const FlowCaller& aCaller)
{
  if (aCaller.state() != AttemptState::Open) {
    return;
  }
  for (const auto& [name, side] : mSides) {
    if (side->target != nullptr && side->target->holds(aCaller.flow())) {
      mBroken.push_back(absl::StrCat("a flow that ",
                                     name,
                                     " holds was reset: ",
                                     Packet::formatFlowKey(aCaller.flow())));
    }
  }
}

std::vector<std::string>
World::brokenPromises() const
{
  auto broken = mBroken;
  std::map<std::string, int> counts;
  for (const auto& run : mRuns) {
    if (mServiceOfRequest.at(run.request) != run.service) {
      broken.push_back(absl::StrCat(run.request, " ran at ", run.service));
    }
    if (++counts[run.request] == 2) {
      broken.push_back(absl::StrCat(run.request, " ran twice"));
    }
  }
  for (const auto& caller : mCallers) {
    if (caller->hasStrangeAnswer()) {
      broken.emplace_back("a caller got another's answer");
    }
    const auto& first = caller->requests().front();
    if (caller->state() == AttemptState::Refused && counts[first] > 0) {
      broken.push_back(absl::StrCat(first, " was refused as not run and ran"));
    }
  }
  return broken;
}

} // namespace FlowWorld
