#include "storefixture.h"

#include "platform/peerserver.h"
#include "platform/slowstartbounds.h"

#include <absl/strings/str_cat.h>

#include <unistd.h>

#include <utility>

namespace PlatformTesting {

namespace {

constexpr std::uint16_t kAgentPort = 8172;
/** First loopback address of followers. */
constexpr std::uint32_t kFirstAddress = 0x7F000101;
constexpr const char* kServiceAddress = "198.18.0.1:443";

const Steering::Target*
findTarget(const Steering::FleetMapPointer& aMap, const std::string& aAddress)
{
  return aMap == nullptr
           ? nullptr
           : aMap->findTarget({ *Core::parseAddress(aAddress), kAgentPort });
}

} // namespace

Core::Endpoint
nextControlEndpoint()
{
  // Tests may run at the same time.
  constexpr int kFirstPort = 20'000;
  constexpr int kPortPairs = 10'000;
  static std::uint32_t sAddress = kFirstAddress;
  const auto port = kFirstPort + 2 * (getpid() % kPortPairs);
  return { sAddress++, static_cast<std::uint16_t>(port) };
}

std::string
configurationText(unsigned aVersion, const std::string& aRouteName)
{
  return absl::StrCat(
    R"({"version":)",
    aVersion,
    R"(,"routes":[{"name":")",
    aRouteName,
    R"(","host":"198.18.0.1","prefix":"/443/","type":"upload",)",
    R"("service":"red"}],"services":[{"name":"red"},{"name":"blue"}]})");
}

std::string
announcementText(const std::string& aAddress,
                 const std::string& aState,
                 unsigned aStartedAt,
                 const std::string& aService)
{
  return absl::StrCat(R"({"service":")",
                      aService,
                      R"(","address":")",
                      aAddress,
                      R"(:8080","zone":"z1","maxConcurrency":4,"state":")",
                      aState,
                      R"(","born":)",
                      aStartedAt,
                      "}");
}

Follower::Follower(const Core::Endpoint& aStore,
                   std::vector<Core::Endpoint> aSeeds)
  : mStop(Core::StopSource::create().value())
  , mEvents({ "test", "off", false })
  , mSeeds(std::move(aSeeds))
  , mControl(nextControlEndpoint())
  , mLink(Platform::PeerLink::open(
            { mControl.address, static_cast<std::uint16_t>(mControl.port + 1) },
            mControl.port,
            "z1",
            [this] { return mSeeds; },
            mEvents,
            *mStop)
            .value())
  , mSource(
      aStore,
      mControl,
      [this] { return mLink->peers(); },
      *mStop)
  , mWatch(aStore,
           mSource,
           *mLink,
           kAgentPort,
           Platform::SlowStartBounds(),
           mPublished,
           fleetMap,
           mEvents,
           *mStop,
           [] {})
{
}

Follower::~Follower()
{
  mStop->requestStop();
}

void
Follower::start()
{
  mServer = Platform::startPeerServer(mControl, mPublished).value();
  static_cast<void>(mWatch.start());
}

std::uint64_t
Follower::version() const
{
  const auto map = fleetMap.current();
  return map == nullptr ? 0 : map->version();
}

std::string
Follower::routeName() const
{
  const auto map = fleetMap.current();
  const auto* route = map == nullptr
                        ? nullptr
                        : map->findRoute(*Core::parseEndpoint(kServiceAddress));
  return route == nullptr ? "" : route->name;
}

bool
Follower::accepts(const std::string& aAddress) const
{
  const auto map = fleetMap.current();
  const auto* target = findTarget(map, aAddress);
  return target != nullptr &&
         target->acceptsNewFlows(Core::SystemClock().now());
}

bool
Follower::servesOpenFlows(const std::string& aAddress) const
{
  const auto map = fleetMap.current();
  const auto* target = findTarget(map, aAddress);
  return target != nullptr && !target->isRemoved();
}

} // namespace PlatformTesting
