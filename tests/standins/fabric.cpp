#include "commands.h"

#include "config/instancelist.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <httplib.h>

#include <poll.h>

#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace StandIns {

namespace {

constexpr std::chrono::milliseconds kListRefreshInterval{ 200 };
constexpr int kPollMilliseconds = 20;
constexpr unsigned kPerMille = 1000;

/**
 * The balancers in the platform's instance list that receive packets from the
 * fabric.
 */
class BalancerList
{
public:
  explicit BalancerList(const Core::Endpoint& aPlatform)
    : mClient(Core::formatAddress(aPlatform.address), aPlatform.port)
  {
  }

  void refresh()
  {
    const auto result = mClient.Get("/v1/instances?index=0&waitMilliseconds=0");
    if (!result || result->status != 200) {
      return;
    }
    const auto instanceList =
      Config::parseInstanceList("platform", result->body);
    if (!instanceList.ok()) {
      return;
    }
    std::vector<Core::Endpoint> balancers;
    for (const auto& instance : instanceList->instances) {
      if (instance.role == Config::InstanceRole::Balancer &&
          !instance.leaving) {
        balancers.push_back(instance.data);
      }
    }
    const std::lock_guard lock(mMutex);
    mBalancers = balancers;
  }

  std::vector<Core::Endpoint> balancers() const
  {
    const std::lock_guard lock(mMutex);
    return mBalancers;
  }

private:
  httplib::Client mClient;
  mutable std::mutex mMutex;
  std::vector<Core::Endpoint> mBalancers;
};

} // namespace

int
runFabric(const cxxopts::ParseResult& aOptions)
{
  const auto listen = Core::parseEndpoint(aOptions["listen"].as<std::string>());
  const auto platform =
    Core::parseEndpoint(aOptions["platform"].as<std::string>());
  if (!listen.ok() || !platform.ok()) {
    std::cerr << "fabric: invalid endpoint\n";
    return 2;
  }
  auto socket = Transport::UdpSocket::bind(*listen);
  if (!socket.ok()) {
    std::cerr << socket.status().message() << "\n";
    return 1;
  }
  BalancerList balancerList(*platform);
  balancerList.refresh();
  std::thread refresher([&balancerList] {
    while (!isStopRequested()) {
      std::this_thread::sleep_for(kListRefreshInterval);
      balancerList.refresh();
    }
  });
  std::mt19937_64 random(aOptions["seed"].as<unsigned>());
  const auto loss = aOptions["loss"].as<unsigned>();
  Transport::DatagramReceiver receiver;
  Transport::DatagramSender sender(*socket);
  pollfd pollEntry{ socket->descriptor(), POLLIN, 0 };
  while (!isStopRequested()) {
    poll(&pollEntry, 1, kPollMilliseconds);
    const auto balancers = balancerList.balancers();
    receiver.receive(*socket, [&](const auto& aDatagram) {
      const bool isLost = random() % kPerMille < loss;
      if (!balancers.empty() && !isLost) {
        sender.send(balancers[random() % balancers.size()], aDatagram);
      }
    });
    sender.flush();
  }
  refresher.join();
  return 0;
}

} // namespace StandIns
