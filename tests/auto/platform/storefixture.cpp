#include "storefixture.h"

#include "platform/peerserver.h"

#include <absl/strings/str_cat.h>

#include <random>
#include <utility>

namespace PlatformTesting {

namespace {

constexpr std::uint16_t kAgentPort = 8172;
constexpr const char* kServiceAddress = "198.18.0.1:443";

} // namespace

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
                   std::vector<Core::Endpoint> aPeers)
  : mStop(Core::StopSource::create().value())
  , mEvents({ "test", "off", false })
  , mPeers(std::move(aPeers))
  , mSource(
      aStore,
      {},
      [this] { return mPeers; },
      *mStop)
  , mWatch(aStore,
           mSource,
           kAgentPort,
           published,
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
  const auto* target =
    map == nullptr
      ? nullptr
      : map->findTarget({ *Core::parseAddress(aAddress), kAgentPort });
  return target != nullptr &&
         target->acceptsNewFlows(Core::SystemClock().now());
}

PeerServer
startPeerServer(const Follower& aFollower)
{
  // Another process may take a port that was found free.
  constexpr std::uint16_t kFirstPort = 20'000;
  constexpr std::uint16_t kPortCount = 10'000;
  PeerServer peerServer;
  peerServer.endpoint.address = *Core::parseAddress("127.0.0.1");
  std::random_device random;
  while (peerServer.server == nullptr) {
    peerServer.endpoint.port =
      static_cast<std::uint16_t>(kFirstPort + random() % kPortCount);
    auto started =
      Platform::startPeerServer(peerServer.endpoint, aFollower.published);
    if (started.ok()) {
      peerServer.server = std::move(*started);
    }
  }
  return peerServer;
}

} // namespace PlatformTesting
