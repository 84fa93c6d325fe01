// An entry of another writer, which lacks fields, stands in the store beside
// the entries of the targets and names the address of one of them.

#include "deployment.h"

using namespace standin;

namespace {

std::string
configuration(const Deployment& deployment)
{
  return R"({"version":7,"routes":[{"name":"check","host":")" +
         deployment.host() +
         R"(","prefix":"/443/","type":"idempotent","timeoutMs":4000,)" +
         R"("aimMs":300,"priority":2,"maxAttempts":2,"service":"register"},)" +
         R"({"name":"upload","host":")" + deployment.host() +
         R"(","prefix":"/8443/","type":"upload","timeoutMs":8000,)" +
         R"("aimMs":500,"priority":2,"maxAttempts":2,"service":"evidence"}],)" +
         R"("services":[{"name":"register","healthCheckPath":"/healthz",)" +
         R"("maxConnections":2000,"protocol":"h1","tls":false},)" +
         R"({"name":"evidence","healthCheckPath":"/healthz",)" +
         R"("maxConnections":2000,"protocol":"h1","tls":false}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/** It has no version and no sequence; an entry of a target has both. */
std::string
foreignEntry(const Deployment& deployment)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  return R"({"service":"evidence","address":")" + deployment.targetAddress(0) +
         R"(","zone":"zone-a","maxConcurrency":7,"state":"ready",)" +
         R"("warmupLeftMs":0,"born":)" + std::to_string(now) + "}";
}

int
run(Record& record, bool isTroubled)
{
  Deployment deployment(2,
                        { { "i-7f3a91c2", "register" },
                          { "i-2bd09e41", "register" },
                          { "i-c5516a08", "register" },
                          { "i-93e7d0fa", "evidence" } },
                        record);
  auto& store = deployment.store();
  store.put("op/config", configuration(deployment));
  deployment.announceAll();
  for (std::size_t i = 0; i < deployment.targetCount(); ++i) {
    deployment.startSide(i);
  }
  deployment.startFront(0);
  deployment.startFront(1);
  if (!deployment.awaitRotation(2, 10s)) {
    return 2;
  }
  sleepFor(2s);
  std::vector<ClientFlowPointer> flows;
  std::vector<Target*> holders;
  for (int i = 0; i < 18; ++i) {
    auto flow = openFlow(deployment, 443);
    if (flow == nullptr) {
      return 2;
    }
    flows.push_back(flow);
    holders.push_back(deployment.holderOf(*flow));
  }
  const auto requestAll = [&] {
    std::vector<std::thread> threads;
    for (auto& flow : flows) {
      threads.emplace_back([&deployment, flow] {
        flow->request(deployment.newRequestId(), 4'000ms);
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
  };
  // Nothing but the foreign entry happens from here on, and for longer than
  // stableWindowMs before it.
  sleepFor(5s);
  requestAll();
  if (isTroubled) {
    store.put("servers/inventory-0042", foreignEntry(deployment));
  }
  for (int i = 0; i < 3; ++i) {
    sleepFor(2s);
    requestAll();
  }
  int broken = 0;
  for (std::size_t i = 0; i < flows.size(); ++i) {
    if (holders[i] == nullptr || holders[i]->resetsSent() > 0) {
      return 2;
    }
    if (flows[i]->wasResetBySystem()) {
      ++broken;
      record.line("FLOW broken: %s is open at %s, which lives and sent no "
                  "reset; the client got one",
                  flows[i]->name().c_str(),
                  holders[i]->id().c_str());
    }
  }
  record.line(
    "%d of %zu open flows were reset by the system", broken, flows.size());
  return broken > 0 ? 1 : 0;
}

} // namespace

int
main()
{
  return runCase(run);
}
