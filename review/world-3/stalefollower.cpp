// A balancer that gets the map from another one keeps resetting flows of a
// route that it does not know yet, after the other one was killed.
#include "world.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>

using namespace World;

namespace {

constexpr int kBalancers = 4;
constexpr int kServers = 3;
constexpr int kTrials = 9;

/** The order in which balancers of a zone become readers of the store. */
std::uint64_t
rankOf(std::uint32_t aAddress)
{
  std::uint64_t value = aAddress + 0x9E3779B97F4A7C15ULL;
  value ^= value >> 30U;
  value *= 0xBF58476D1CE4E5B9ULL;
  value ^= value >> 27U;
  value *= 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  const char* otherFlows = std::getenv("BACKGROUND");
  const int background = otherFlows != nullptr ? std::atoi(otherFlows) : 0;
  Deployment deployment;
  deployment.net = chooseNet();
  deployment.directory = aArguments[1];
  deployment.balancerCommand = aArguments[2];
  deployment.agentCommand = aArguments[3];
  deployment.balancers = kBalancers;
  const auto& net = deployment.net;
  Store store(net.store(), net.ports.store);
  std::vector<RouteText> routes{ { 8443, "idempotent", "register" } };
  int version = 7;
  store.put("op/config", configText(net, version, routes, { "register" }));
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Process>> agents;
  const auto born = unixMs();
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Server>(net, i, "register"));
    agents.push_back(deployment.agent(i, "register"));
    agents.back()->start();
    store.put("servers/" + servers[i]->name(),
              entryText(net, *servers[i], "ready", born));
  }
  std::vector<std::unique_ptr<Process>> balancers;
  for (int i = 0; i < kBalancers; ++i) {
    balancers.push_back(deployment.balancer(i));
    balancers.back()->start();
  }
  std::vector<int> order;
  for (int i = 0; i < kBalancers; ++i) {
    order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&](int aLeft, int aRight) {
    return rankOf(net.balancer(aLeft)) < rankOf(net.balancer(aRight));
  });
  const int followed = order.front();
  const int follower = order.back();
  note("balancer " + std::to_string(follower) + " follows balancer " +
       std::to_string(followed));
  Fabric fabric(net, kBalancers);
  Client client(net, 0, fabric);
  std::vector<int> rotationAfter;
  for (int i = 0; i < kBalancers; ++i) {
    if (i != followed) {
      rotationAfter.push_back(i);
    }
  }
  std::vector<std::uint16_t> others;
  int resets = 0;
  int opened = 0;
  std::uint16_t port = 41'000;
  for (int trial = 0; trial < kTrials; ++trial) {
    if (!fabric.waitForRotation(kBalancers, 10'000)) {
      note("the balancers did not become ready");
      return 2;
    }
    // All machines are in touch again: longer than stableWindowMs.
    for (const auto end = nowMs() + 5'000; nowMs() < end; sleepMs(100)) {
      if (static_cast<int>(others.size()) < background) {
        others.push_back(client.open(8443));
      }
      for (const auto other : others) {
        client.request(other);
      }
    }
    const auto rotation = fabric.rotation();
    do {
      ++port;
    } while (fabric.nodeFor(client.address(), port, rotation) == followed ||
             fabric.nodeFor(client.address(), port, rotation) == follower ||
             fabric.nodeFor(client.address(), port, rotationAfter) != follower);
    fabric.waitBeforeProbe(followed);
    const auto killedAt = nowMs();
    if (hasTrouble) {
      balancers[followed]->kill();
    }
    const auto waitUntil = [&](std::int64_t aTime) {
      while (nowMs() < aTime) {
        sleepMs(2);
      }
    };
    waitUntil(killedAt + 250);
    const auto routePort = static_cast<std::uint16_t>(9'000 + trial);
    routes.push_back({ routePort, "idempotent", "register" });
    store.put("op/config", configText(net, ++version, routes, { "register" }));
    note("version " + std::to_string(version) + " adds a route to port " +
         std::to_string(routePort));
    waitUntil(killedAt + 280);
    client.open(routePort, port);
    for (const auto end = killedAt + 2'500; nowMs() < end; sleepMs(40)) {
      client.request(port);
      for (const auto other : others) {
        client.request(other);
      }
    }
    const auto flow = client.get(port);
    opened += flow.answers > 0 ? 1 : 0;
    resets += flow.hasForeignReset ? 1 : 0;
    bool isHeld = false;
    for (const auto& server : servers) {
      isHeld = isHeld || server->holds(client.address(), port);
    }
    note("trial " + std::to_string(trial) + ": flow " + std::to_string(port) +
         " answers " + std::to_string(flow.answers) + " at " + flow.server +
         (flow.hasForeignReset ? " RESET BY THE SYSTEM" : "") +
         (isHeld ? ", still held by its server" : ""));
    if (hasTrouble) {
      balancers[followed]->start();
    }
  }
  for (auto& process : balancers) {
    if (process->hasEndedByItself()) {
      return 2;
    }
  }
  note(std::to_string(opened) + " flows opened, " + std::to_string(resets) +
       " of them reset by the system");
  balancers.clear();
  agents.clear();
  if (opened < kTrials / 2) {
    return 2;
  }
  note(resets > 0 ? "FLOW broken" : "FLOW holds");
  return resets > 0 ? 1 : 0;
}
