// A route moves to another service while flows are open on it, entries of
// targets expire during an outage of the store and come back, and then all
// balancers are killed at one moment. The agents run all the while.
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
  // The agents have to run for 30 s before the last requests.
  loop.runUntil(16000);
  std::vector<std::shared_ptr<Client::Flow>> flows;
  for (int i = 0; i < 8; ++i) {
    flows.push_back(
      fleet.client->open(Fleet::balancerIp(i % 2), "127.98.0.1", 8443));
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
    loop.note("round %s: %d of 8 requests are answered", name, answered);
    return answered;
  };
  if (round("first", 1000) != 8) {
    return NotRun;
  }
  fleet.routes[0].service = "evidence";
  fleet.putConfiguration(12);
  loop.runFor(3500);
  if (round("moved", 1000) != 8) {
    return NotRun;
  }
  if (fleet.hasTrouble) {
    // The store is down for 4.5 s; entries expire after three check-in
    // intervals, 3.6 s, and are back within 2 s of its return.
    loop.note("the store is down");
    fleet.store->mode = Store::Mode::Busy;
    loop.runFor(4000);
    for (auto& target : fleet.targets) {
      fleet.store->erase("servers/" + target->id);
    }
    loop.runFor(500);
    loop.note("the store is back");
    fleet.store->mode = Store::Mode::Serve;
    for (auto& target : fleet.targets) {
      loop.runFor(100);
      target->announce("ready");
    }
  }
  loop.runFor(4500);
  // Nothing has been lost so far.
  if (round("outage", 1000) != 8) {
    return NotRun;
  }
  if (fleet.hasTrouble) {
    for (auto& balancer : fleet.balancers) {
      balancer->signal(SIGKILL);
    }
    loop.runFor(300);
    for (auto& balancer : fleet.balancers) {
      balancer->end();
      balancer->start();
    }
    if (!fleet.deployment.waitUntilReady(
          { Fleet::balancerIp(0), Fleet::balancerIp(1) }, 10000)) {
      return NotRun;
    }
  }
  // All machines are in touch again after stableWindowMs.
  loop.runFor(4500);
  const int answered = round("last", 4500);
  int resets = 0;
  for (auto& f : flows) {
    resets += f->resetBySystem;
  }
  loop.note(
    "%d open flows were reset by the system; %d of 8 requests were answered",
    resets,
    answered);
  return resets > 0 ? Broken : Held;
}
