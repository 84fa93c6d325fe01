// Many users come at once, so that requests wait at the agents for longer than
// their route's timeout; meanwhile a balancer is stopped as planned.
#include "fleet.h"

int
main(int argc, char** argv)
{
  using namespace world;
  if (argc != 4) {
    return NotRun;
  }
  Fleet fleet(argv[1], argv[2], argv[3], {});
  auto& loop = fleet.loop;
  if (!fleet.start()) {
    return NotRun;
  }
  // The configuration's time-outs change, as new versions may.
  fleet.routes[0].timeoutMs = 1000;
  fleet.putConfiguration(9);
  std::vector<std::shared_ptr<Client::Flow>> flows;
  loop.runUntil(31000);
  for (int i = 0; i < 70; ++i) {
    flows.push_back(
      fleet.client->open(Fleet::balancerIp(i % 2), "127.98.0.1", 8443));
    loop.runFor(5);
  }
  fleet.startRouters(flows);
  loop.runFor(1000);
  const auto answered = [&] {
    int n = 0;
    for (auto& f : flows) {
      n += f->state == Client::State::Open && !f->isWaiting && !f->isLost;
    }
    return n;
  };
  for (auto& f : flows) {
    fleet.client->request(f, "first-" + std::to_string(f->port), 55);
    loop.runFor(20);
  }
  loop.runFor(1000);
  if (answered() != 70) {
    loop.note("%d of the first requests are answered", answered());
    return NotRun;
  }
  const auto from = loop.now();
  for (auto& f : flows) {
    fleet.client->request(f, "burst-" + std::to_string(f->port), 330);
  }
  loop.runUntil(from + 150);
  if (fleet.hasTrouble) {
    fleet.balancers[0]->signal(SIGTERM);
  }
  loop.runUntil(from + 6000);
  int resets = 0;
  for (auto& f : flows) {
    resets += f->resetBySystem;
  }
  loop.note(
    "%d open flows were reset by the system; %d of 70 requests were answered",
    resets,
    answered());
  return resets > 0 ? Broken : Held;
}
