// A new configuration takes a service out of a route's traffic split while
// flows of the route are open at that service.

#include "deployment.h"

using namespace standin;

namespace {

std::string
configuration(const Deployment& deployment, int version, bool hasBoth)
{
  const std::string split =
    hasBoth ? R"([{"service":"old","weight":50},{"service":"new","weight":50}])"
            : R"([{"service":"new","weight":100}])";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"check","host":")" + deployment.host() +
         R"(","prefix":"/443/","type":"idempotent","timeoutMs":4000,)" +
         R"("aimMs":300,"priority":1,"maxAttempts":2,"trafficSplit":)" + split +
         R"(}],"services":[{"name":"old","healthCheckPath":"/healthz",)" +
         R"("maxConnections":2000,"protocol":"h1","tls":false},)" +
         R"({"name":"new","healthCheckPath":"/healthz",)" +
         R"("maxConnections":2000,"protocol":"h1","tls":false}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int
run(Record& record, bool isTroubled)
{
  Deployment deployment(2,
                        { { "i-old-1", "old" },
                          { "i-old-2", "old" },
                          { "i-new-1", "new" },
                          { "i-new-2", "new" } },
                        record);
  auto& store = deployment.store();
  store.put("op/config", configuration(deployment, 7, true));
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
  for (int i = 0; i < 16; ++i) {
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
  sleepFor(2s);
  requestAll();
  if (isTroubled) {
    store.put("op/config", configuration(deployment, 9, false));
  }
  sleepFor(3s);
  requestAll();
  sleepFor(2s);
  requestAll();
  int broken = 0;
  for (std::size_t i = 0; i < flows.size(); ++i) {
    if (holders[i] == nullptr || holders[i]->resetsSent() > 0) {
      return 2;
    }
    if (flows[i]->wasResetBySystem()) {
      ++broken;
      record.line("FLOW broken: %s is open at %s (%s), which lives and sent no "
                  "reset; the client got one",
                  flows[i]->name().c_str(),
                  holders[i]->id().c_str(),
                  holders[i]->service().c_str());
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
