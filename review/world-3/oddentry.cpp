// An entry of another writer, without the field `sequence`, has the address of
// a living backend server. It must have no effect.
#include "world.h"

#include <cstdlib>
#include <cstring>

using namespace World;

int
main(int aCount, char** aArguments)
{
  if (aCount < 4) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  constexpr std::uint16_t kRoute = 8443;
  constexpr int kServers = 4;
  Deployment deployment;
  deployment.net = chooseNet();
  deployment.directory = aArguments[1];
  deployment.balancerCommand = aArguments[2];
  deployment.agentCommand = aArguments[3];
  deployment.balancers = 2;
  const auto& net = deployment.net;
  Store store(net.store(), net.ports.store);
  const std::vector<std::string> services{ "register", "evidence" };
  store.put("op/config",
            configText(net,
                       7,
                       { { kRoute, "idempotent", "register" },
                         { 8444, "upload", "evidence" } },
                       services));
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Process>> processes;
  const auto born = unixMs() - 60'000;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(
      std::make_unique<Server>(net, i, i + 1 < kServers ? "register" : "evidence"));
    processes.push_back(deployment.agent(i, servers[i]->service()));
    store.put("servers/" + servers[i]->name(),
              entryText(net, *servers[i], "ready", born));
  }
  for (int i = 0; i < deployment.balancers; ++i) {
    processes.push_back(deployment.balancer(i));
  }
  for (auto& process : processes) {
    process->start();
  }
  Fabric fabric(net, deployment.balancers);
  if (!fabric.waitForRotation(2, 10'000)) {
    note("the balancers did not become ready");
    return 2;
  }
  Client client(net, 0, fabric);
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < 24; ++i) {
    ports.push_back(client.open(kRoute));
    sleepMs(20);
  }
  // In touch: nothing else happens for longer than stableWindowMs.
  const auto run = [&](std::int64_t aMs) {
    for (const auto end = nowMs() + aMs; nowMs() < end; sleepMs(250)) {
      for (const auto port : ports) {
        client.request(port);
      }
    }
  };
  run(6'000);
  int openCount = 0;
  int victims = 0;
  for (const auto& flow : client.all()) {
    openCount += flow.isOpen && !flow.isAborted && flow.answers > 0 ? 1 : 0;
    victims += servers[0]->holds(client.address(), flow.port) ? 1 : 0;
  }
  note(std::to_string(openCount) + " flows are open, " +
       std::to_string(victims) + " of them at " + servers[0]->name());
  if (openCount < 20 || victims == 0) {
    return 2;
  }
  if (hasTrouble) {
    const std::string entry =
      "{\"service\":\"evidence\",\"address\":\"" +
      formatAddress(servers[0]->address()) + ":" +
      std::to_string(net.ports.app) +
      "\",\"zone\":\"sofia-a\",\"version\":\"v1\",\"maxConcurrency\":7,"
      "\"state\":\"ready\",\"warmupLeftMs\":0,\"born\":" +
      std::to_string(born + 1'000) + "}";
    store.put("servers/other-writer", entry);
    note("written: servers/other-writer " + entry);
  }
  run(8'000);
  int resets = 0;
  int served = 0;
  for (const auto& flow : client.all()) {
    const bool isHeld = servers[0]->holds(client.address(), flow.port);
    note("flow " + std::to_string(flow.port) + " server " + flow.server +
         " answers " + std::to_string(flow.answers) +
         (flow.hasForeignReset ? " RESET BY THE SYSTEM" : "") +
         (isHeld ? ", held by " + servers[0]->name() : ""));
    resets += flow.hasForeignReset ? 1 : 0;
    served += nowMs() - flow.lastAnswerAt < 2'000 ? 1 : 0;
  }
  for (auto& process : processes) {
    if (process->hasEndedByItself()) {
      return 2;
    }
  }
  note(std::to_string(resets) + " open flows reset by the system, " +
       std::to_string(served) + " served until the end");
  processes.clear();
  note(resets > 0 ? "FLOW broken" : "FLOW holds");
  return resets > 0 ? 1 : 0;
}
