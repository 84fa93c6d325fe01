// An entry of another writer lies in the store, with a field missing.
#include "fleet.h"

int main(int argc, char** argv)
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
  loop.runFor(4500);
  std::vector<std::shared_ptr<Client::Flow>> flows;
  for (int i = 0; i < 12; ++i) {
    flows.push_back(fleet.client->open(Fleet::balancerIp(i % 2), "127.98.0.1", 8443));
    loop.runFor(30);
  }
  loop.runFor(500);
  int n = 0;
  const auto round = [&](const char* name) {
    int answered = 0;
    for (auto& f : flows) {
      if (f->state == Client::State::Open) {
        fleet.client->request(f, std::string(name) + "-" + std::to_string(n++), 55);
      }
    }
    loop.runFor(4500);
    for (auto& f : flows) {
      answered += f->state == Client::State::Open && !f->isWaiting && !f->isLost;
    }
    loop.note("round %s: %d of %zu requests are answered", name, answered, flows.size());
    return answered;
  };
  if (round("before") != static_cast<int>(flows.size())) {
    return NotRun;
  }
  if (fleet.hasTrouble) {
    // A whole entry but for "sequence", at the address of the first register
    // target, which lives and keeps its own entry.
    const auto& t = *fleet.targets[0];
    const std::string entry = "{\"service\":\"evidence\",\"address\":\"" + t.ip + ":" + std::to_string(fleet.ports.app) +
                              "\",\"zone\":\"sofia-a\",\"version\":\"v1\",\"maxConcurrency\":7,\"state\":\"ready\"," +
                              "\"warmupLeftMs\":0,\"born\":" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()) + "}";
    fleet.store->put("servers/other-writer", entry);
    loop.note("another writer's entry: %s", entry.c_str());
  }
  loop.runFor(4500);
  const int after = round("after");
  int resets = 0;
  for (auto& f : flows) {
    resets += f->resetBySystem;
  }
  loop.note("%d open flows were reset by the system; %d of %zu requests were answered after the entry", resets, after, flows.size());
  for (auto& node : fleet.nodes) {
    if (node->hasEnded()) {
      loop.note("process %s ended by itself", node->name.c_str());
    }
  }
  return resets > 0 ? Broken : Held;
}
