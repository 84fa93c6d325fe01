// A route moves to another service while flows are open on it; then all
// processes of the system are killed at one moment and started again.
#include "fleet.h"

int
main(int argc, char** argv)
{
  using namespace world;
  if (argc != 4) {
    return NotRun;
  }
  Fleet::Plan plan;
  plan.registerTargets = 7;
  plan.evidenceTargets = 3;
  Fleet fleet(argv[1], argv[2], argv[3], plan);
  auto& loop = fleet.loop;
  if (!fleet.start()) {
    return NotRun;
  }
  loop.runFor(4500);
  const std::string host = "127.98.0.1";
  std::vector<std::shared_ptr<Client::Flow>> flows;
  for (int i = 0; i < 8; ++i) {
    flows.push_back(fleet.client->open(Fleet::balancerIp(i % 2), host, 8443));
    loop.runFor(30);
  }
  loop.runFor(300);
  const auto round = [&](const char* name, int ms) {
    int answered = 0;
    for (auto& f : flows) {
      if (f->state == Client::State::Open) {
        fleet.client->request(
          f, std::string(name) + "-" + std::to_string(f->port), 55);
      }
    }
    loop.runFor(ms);
    for (auto& f : flows) {
      answered +=
        f->state == Client::State::Open && !f->isWaiting && !f->isLost;
    }
    loop.note("round %s: %d of %zu requests are answered",
              name,
              answered,
              flows.size());
    return answered;
  };
  if (round("first", 1000) != 8) {
    return NotRun;
  }
  fleet.routes[0].service = "evidence";
  fleet.putConfiguration(12);
  loop.runFor(3500);
  // The flows stay where they are.
  if (round("moved", 1000) != 8) {
    return NotRun;
  }
  if (fleet.hasTrouble) {
    for (auto& n : fleet.nodes) {
      n->signal(SIGKILL);
    }
    loop.runFor(300);
    for (auto& n : fleet.nodes) {
      n->end();
      n->start();
    }
    if (!fleet.deployment.waitUntilReady(
          { Fleet::balancerIp(0), Fleet::balancerIp(1) }, 10000)) {
      return NotRun;
    }
  }
  // All machines are in touch again after stableWindowMs.
  loop.runFor(4500);
  const auto from = loop.now();
  for (auto& t : fleet.targets) {
    t->arrivals.clear();
  }
  const int answered = round("last", 4500);
  int broken = 0;
  for (auto& f : flows) {
    int others = 0, own = 0;
    for (int i = 0; i < 10; ++i) {
      auto& t = *fleet.targets[i];
      const bool isOwn = t.runs.count("first-" + std::to_string(f->port)) > 0;
      for (auto& [at, port] : t.arrivals) {
        if (port == f->port && at - from <= 2000) {
          ++(isOwn ? own : others);
        }
      }
    }
    loop.note("flow of port %u: within 2000 ms %d packets reached other "
              "targets and %d its own",
              f->port,
              others,
              own);
    broken += (others >= 3 && own == 0) || f->resetBySystem;
  }
  loop.note(
    "%d flows broken; %d of 8 requests were answered", broken, answered);
  return broken > 0 ? Broken : Held;
}
