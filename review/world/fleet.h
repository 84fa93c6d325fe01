// A small deployment: some balancers, register and evidence targets with their
// agents, one client host, and the checks that every case makes.
#pragma once

#include "world.h"

namespace world {

/** Exit codes of a case. */
enum Result
{
  Held = 0,
  Broken = 1,
  NotRun = 2
};

struct Fleet
{
  struct Plan
  {
    int balancers = 2;
    int registerTargets = 2;
    int evidenceTargets = 1;
    int slots = 7;
    int idleTimeoutMs = 15000;
    int configVersion = 7;
  };

  Fleet(const char* record, const char* program, const char* folder, Plan plan)
    : loop(record)
    , plan(plan)
    , deployment(loop, folder, program)
  {
    ::signal(SIGPIPE, SIG_IGN);
    const char* t = std::getenv("TROUBLE");
    hasTrouble = !(t && std::string(t) == "0");
  }
  ~Fleet()
  {
    for (auto& n : nodes) {
      n->end();
    }
  }

  bool start()
  {
    std::vector<std::string> ips{ storeIp, clientIp };
    for (int i = 0; i < plan.balancers; ++i) {
      ips.push_back(balancerIp(i));
    }
    for (int i = 0; i < plan.registerTargets + plan.evidenceTargets; ++i) {
      ips.push_back(targetIp(i));
    }
    ports = Ports::choose(ips);
    if (ports.udp == 0 || access(program().c_str(), X_OK) != 0) {
      loop.note("no free ports, or the program is not built");
      return false;
    }
    deployment.ports = ports;
    deployment.storeIp = storeIp;
    for (int i = 0; i < std::min(plan.balancers, 3); ++i) {
      deployment.seeds.push_back(balancerIp(i));
    }
    store = std::make_unique<Store>(loop, storeIp, ports.store);
    client = std::make_unique<Client>(loop, ports, clientIp);
    if (!store->isOpen() || !client->start()) {
      return false;
    }
    routes = {
      { "127.98.0.1", 8443, "idempotent", "register", 4000, 300, 2 },
      { "127.98.0.2", 8443, "upload", "evidence", 8000, 500, 2 },
      { "127.98.0.1", 8080, "non_idempotent", "register", 5000, 300, 1 }
    };
    putConfiguration(plan.configVersion);
    for (int i = 0; i < plan.registerTargets + plan.evidenceTargets; ++i) {
      const bool isRegister = i < plan.registerTargets;
      const std::string service = isRegister ? "register" : "evidence";
      const std::string id = "i-" + std::to_string(5000 + i * 111);
      auto target = std::make_shared<Target>(
        loop, *store, ports, id, service, "sofia-a", targetIp(i));
      target->slots = plan.slots;
      if (!target->start()) {
        return false;
      }
      targets.push_back(target);
      auto agent = deployment.agent(
        "side-" + std::to_string(i + 1), targetIp(i), "sofia-a", service);
      agents.push_back(agent);
      nodes.push_back(agent);
      agent->start();
      target->announce("ready");
    }
    std::vector<std::string> balancerIps;
    for (int i = 0; i < plan.balancers; ++i) {
      auto balancer = deployment.balancer(
        "frontend-" + std::to_string(i + 1), balancerIp(i), "sofia-a");
      balancers.push_back(balancer);
      nodes.push_back(balancer);
      balancer->start();
      balancerIps.push_back(balancerIp(i));
    }
    if (!deployment.waitUntilReady(balancerIps, 15000)) {
      loop.note("the balancers did not get ready");
      return false;
    }
    loop.note("all balancers are ready");
    return true;
  }
  void putConfiguration(int version)
  {
    store->put(
      "op/config",
      configuration(
        version, routes, { "register", "evidence" }, plan.idleTimeoutMs));
    loop.note("the store acknowledges configuration %d", version);
  }
  /**
   * The platform's routers: they probe each balancer twice a second, take it
   * out of the rotation after two misses, and hash flows over those in it.
   */
  void startRouters(std::vector<std::shared_ptr<Client::Flow>>& flows)
  {
    misses.assign(plan.balancers, 0);
    routed = &flows;
    route();
    probe();
  }
  std::string balancerOf(std::uint16_t port) const
  {
    std::vector<std::string> in;
    for (int i = 0; i < plan.balancers; ++i) {
      if (misses[i] < 2) {
        in.push_back(balancerIp(i));
      }
    }
    return in.empty() ? balancerIp(port % plan.balancers)
                      : in[port % in.size()];
  }
  void route()
  {
    for (auto& f : *routed) {
      f->balancer = balancerOf(f->port);
    }
  }
  void probe()
  {
    for (int i = 0; i < plan.balancers; ++i) {
      const bool wasIn = misses[i] < 2;
      misses[i] = deployment.isReady(balancerIp(i)) ? 0 : misses[i] + 1;
      if (wasIn != (misses[i] < 2)) {
        loop.note("%s is %s the rotation",
                  balancerIp(i).c_str(),
                  wasIn ? "out of" : "in");
        route();
      }
    }
    loop.after(500, [this] { probe(); });
  }
  std::string program() const { return programPath; }
  static std::string balancerIp(int i)
  {
    return "127.81.0." + std::to_string(i + 1);
  }
  static std::string targetIp(int i)
  {
    return "127.82.0." + std::to_string(i + 1);
  }

  Loop loop;
  Plan plan;
  Deployment deployment;
  std::string programPath = "target/bin/lacewingspread";
  std::string storeIp = "127.80.0.1", clientIp = "127.90.0.1";
  Ports ports;
  bool hasTrouble = true;
  std::vector<int> misses;
  std::vector<std::shared_ptr<Client::Flow>>* routed = nullptr;
  std::vector<RouteSpec> routes;
  std::unique_ptr<Store> store;
  std::unique_ptr<Client> client;
  std::vector<std::shared_ptr<Target>> targets;
  std::vector<std::shared_ptr<Node>> agents, balancers, nodes;
};

} // namespace world
