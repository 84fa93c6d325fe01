// Clients pause between the requests of a flow, for less than idleTimeoutMs.
#include "fleet.h"

int main(int argc, char** argv)
{
  using namespace world;
  if (argc != 4) {
    return NotRun;
  }
  Fleet::Plan plan;
  plan.idleTimeoutMs = 45000;
  Fleet fleet(argv[1], argv[2], argv[3], plan);
  auto& loop = fleet.loop;
  if (!fleet.start()) {
    return NotRun;
  }
  loop.runFor(4500);
  std::vector<std::shared_ptr<Client::Flow>> flows;
  for (int i = 0; i < 12; ++i) {
    flows.push_back(fleet.client->open(Fleet::balancerIp(i % 2), "127.98.0.1", 8443));
    loop.runFor(20);
  }
  loop.runFor(300);
  const auto round = [&](const char* name) {
    int answered = 0;
    for (auto& f : flows) {
      if (f->state == Client::State::Open) {
        fleet.client->request(f, std::string(name) + "-" + std::to_string(f->port), 55);
        loop.runFor(20);
      }
    }
    loop.runFor(4500);
    for (auto& f : flows) {
      answered += f->state == Client::State::Open && !f->isWaiting && !f->isLost;
    }
    loop.note("round %s: %d of 12 requests are answered", name, answered);
    return answered;
  };
  if (round("first") != 12) {
    return NotRun;
  }
  // The pause is 42 s at most, counted from the first answer.
  loop.runFor(fleet.hasTrouble ? 37500 : 5000);
  round("second");
  int resets = 0;
  for (auto& f : flows) {
    resets += f->resetBySystem;
  }
  loop.note("%d open flows were reset by the system", resets);
  return resets > 0 ? Broken : Held;
}
