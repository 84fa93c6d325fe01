// A target drains and closes its flows; the clients use the ports of these
// closed flows again.
#include "fleet.h"

int
main(int argc, char** argv)
{
  using namespace world;
  if (argc != 4) {
    return NotRun;
  }
  Fleet::Plan plan;
  plan.registerTargets = 6;
  Fleet fleet(argv[1], argv[2], argv[3], plan);
  auto& loop = fleet.loop;
  if (!fleet.start()) {
    return NotRun;
  }
  loop.runFor(4500);
  const std::string host = "127.98.0.1";
  std::vector<std::shared_ptr<Client::Flow>> flows;
  for (int i = 0; i < 24; ++i) {
    flows.push_back(fleet.client->open(Fleet::balancerIp(i % 2), host, 8080));
    loop.runFor(20);
  }
  for (auto& f : flows) {
    fleet.client->request(f, "before-" + std::to_string(f->port), 430, "POST");
  }
  loop.runFor(200);
  // The register target with the most flows leaves.
  int index = 0;
  for (int i = 1; i < plan.registerTargets; ++i) {
    index =
      fleet.targets[i]->openings.size() > fleet.targets[index]->openings.size()
        ? i
        : index;
  }
  auto& leaving = *fleet.targets[index];
  std::int64_t ackedAt = 0;
  if (fleet.hasTrouble) {
    // The target closes each flow after its next answer.
    leaving.announce("draining");
    ackedAt = loop.now();
  }
  loop.runFor(1800);
  int answered = 0;
  for (auto& f : flows) {
    answered += !f->isWaiting && !f->isLost && f->state != Client::State::Reset;
  }
  if (answered != 24) {
    return NotRun;
  }
  loop.runFor(2500);
  // The ports whose flows the target closed first are free for new flows, as
  // only the end that closes first has to wait. The others use new ports.
  std::vector<std::shared_ptr<Client::Flow>> second;
  int reused = 0;
  for (auto& f : flows) {
    const bool isFree = f->state == Client::State::Closed;
    reused += isFree;
    fleet.client->close_(f);
    auto next =
      fleet.client->open(f->balancer, host, 8080, isFree ? f->port : 0);
    next->onOpen = [&fleet, next, &loop] {
      fleet.client->request(
        next, "after-" + std::to_string(next->port), 430, "POST");
    };
    second.push_back(next);
    loop.runFor(20);
  }
  loop.note("%d ports are used again", reused);
  int late = 0;
  for (auto at : leaving.openings) {
    late += ackedAt != 0 && at > ackedAt + 3000;
  }
  // It serves for drainTimeoutMs and a little longer, and then exits.
  loop.runFor(200);
  if (fleet.hasTrouble) {
    loop.note("the draining target exits");
    leaving.stop();
    fleet.store->erase("servers/" + leaving.id);
    fleet.agents[index]->signal(SIGTERM);
  }
  loop.runFor(6000);
  int lost = 0;
  for (auto& f : second) {
    lost += f->state != Client::State::Closed &&
            (f->isWaiting || f->isLost || f->state != Client::State::Open);
  }
  loop.note("%d opening packets reached the draining target later than 3000 ms "
            "after the ack; %d requests of 24 got no answer",
            late,
            lost);
  return late > 0 ? Broken : Held;
}
