// A new configuration raises idleTimeoutMs. A flow is then idle for longer than
// before, but not for longer than idleTimeoutMs.

#include "deployment.h"

using namespace standin;

namespace {

constexpr auto kUsualIdleTimeout = 15'000ms;
constexpr auto kRaisedIdleTimeout = 55'000ms;
/** Below kRaisedIdleTimeout; the flows are younger than flowLifetimeS. */
constexpr auto kPause = 46'000ms;

std::string
configuration(const Deployment& deployment,
              int version,
              std::chrono::milliseconds idleTimeout)
{
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"check","host":")" + deployment.host() +
         R"(","prefix":"/443/","type":"idempotent","timeoutMs":4000,)" +
         R"("aimMs":300,"priority":2,"maxAttempts":2,"service":"register"}],)" +
         R"("services":[{"name":"register","healthCheckPath":"/healthz",)" +
         R"("maxConnections":2000,"protocol":"h1","tls":false}],)" +
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)" +
         R"("headerTimeoutMs":3000,"idleTimeoutMs":)" +
         std::to_string(idleTimeout.count()) + "}}";
}

int
run(Record& record, bool isTroubled)
{
  Deployment deployment(2,
                        { { "i-7f3a91c2", "register" },
                          { "i-2bd09e41", "register" },
                          { "i-c5516a08", "register" } },
                        record);
  auto& store = deployment.store();
  store.put("op/config", configuration(deployment, 7, kUsualIdleTimeout));
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
  if (isTroubled) {
    store.put("op/config", configuration(deployment, 9, kRaisedIdleTimeout));
    for (std::size_t i = 0; i < deployment.targetCount(); ++i) {
      deployment.target(i).setIdleTimeout(kRaisedIdleTimeout);
    }
  }
  sleepFor(4s);
  std::vector<ClientFlowPointer> flows;
  std::vector<Target*> holders;
  for (int i = 0; i < 12; ++i) {
    auto flow = openFlow(deployment, 443);
    if (flow == nullptr) {
      return 2;
    }
    flows.push_back(flow);
    holders.push_back(deployment.holderOf(*flow));
  }
  // Other clients go on meanwhile.
  int failedOthers = 0;
  const auto resumesAt = Clock::now() + kPause;
  while (Clock::now() < resumesAt) {
    auto other = openFlow(deployment, 443);
    failedOthers += other == nullptr ? 1 : 0;
    if (other != nullptr) {
      other->close();
    }
    sleepFor(500ms);
  }
  record.line("%d requests of other clients failed", failedOthers);
  int broken = 0;
  for (std::size_t i = 0; i < flows.size(); ++i) {
    const bool isHeld =
      holders[i] != nullptr && holders[i]->holds(flows[i]->key());
    if (!isHeld) {
      // Idle for longer than idleTimeoutMs: its target has closed it.
      continue;
    }
    flows[i]->request(deployment.newRequestId(), 4'000ms);
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
