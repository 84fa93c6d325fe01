#include "scenariorunner.h"

#include "simulation/fleetsimulation.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <functional>
#include <map>
#include <optional>

namespace Scenarios {

namespace {

using Tokens = std::vector<std::string>;

const std::map<std::string, std::uint16_t> kPortsByClass{
  { "tcp", Simulation::kTcpPort },
  { "once", Simulation::kOncePort },
  { "udp", Simulation::kUdpPort },
  { "stream", Simulation::kStreamPort },
};

/** Runs the steps of a scenario in order. */
class Runner
{
public:
  absl::Status run(const Scenario& aScenario)
  {
    for (const auto& step : aScenario.steps) {
      const auto status = runStep(step.tokens);
      if (!status.ok()) {
        return absl::Status(status.code(),
                            absl::StrCat(aScenario.name,
                                         ":",
                                         step.line,
                                         ": ",
                                         step.toText(),
                                         ": ",
                                         status.message()));
      }
    }
    const auto violations = startedSimulation().violations();
    if (!violations.empty()) {
      return absl::InternalError(
        absl::StrCat(aScenario.name, ": ", absl::StrJoin(violations, "; ")));
    }
    return absl::OkStatus();
  }

private:
  absl::Status runStep(const Tokens& aTokens)
  {
    if (isSetting(aTokens)) {
      return mSimulation == nullptr
               ? applySetting(aTokens)
               : absl::InvalidArgumentError(
                   "settings must come before the first step");
    }
    if (aTokens[0] == "expect") {
      return checkExpectation(aTokens);
    }
    return runAction(aTokens);
  }

  static bool isSetting(const Tokens& aTokens)
  {
    static const std::set<std::string> sSettings{
      "targets",    "slots",      "connections",  "balancers", "window",
      "slow-start", "wait-limit", "member-share", "seed",      "jitter",
      "link-delay", "zone-first", "cold-start",   "trace",
    };
    return sSettings.contains(aTokens[0]);
  }

  static std::int64_t number(const Tokens& aTokens, std::size_t aIndex)
  {
    std::int64_t value = 0;
    if (aIndex < aTokens.size()) {
      static_cast<void>(absl::SimpleAtoi(aTokens[aIndex], &value));
    }
    return value;
  }

  static std::chrono::milliseconds time(const Tokens& aTokens,
                                        std::size_t aIndex)
  {
    return std::chrono::milliseconds(number(aTokens, aIndex));
  }

  absl::Status applySetting(const Tokens& aTokens)
  {
    auto& fleet = mSettings.fleet;
    const auto value = number(aTokens, 1);
    const std::map<std::string, std::function<void()>> settings{
      { "targets", [&] { mTargetCount = value; } },
      { "slots", [&] { fleet.slots = value; } },
      { "connections", [&] { fleet.connections = value; } },
      { "balancers", [&] { fleet.balancerCount = value; } },
      { "window", [&] { fleet.replayWindow = time(aTokens, 1); } },
      { "slow-start", [&] { fleet.slowStart = time(aTokens, 1); } },
      { "wait-limit", [&] { fleet.waitLimit = time(aTokens, 1); } },
      { "member-share", [&] { fleet.memberShare = value; } },
      { "seed", [&] { mSettings.seed = value; } },
      { "jitter", [&] { mSettings.jitter = time(aTokens, 1); } },
      { "link-delay", [&] { mSettings.linkDelay = time(aTokens, 1); } },
      { "zone-first",
        [&] { fleet.zonePreference = Config::ZonePreference::OwnFirst; } },
      { "cold-start", [&] { mIsColdStart = true; } },
      { "trace", [&] { mSettings.isTraceEnabled = true; } },
    };
    settings.at(aTokens[0])();
    return absl::OkStatus();
  }

  /** Starts the simulation on first use. */
  Simulation::FleetSimulation& startedSimulation()
  {
    if (mSimulation == nullptr) {
      for (std::int64_t i = 1; i <= mTargetCount; ++i) {
        mSettings.fleet.targets.push_back(absl::StrCat("t", i));
      }
      mSimulation = std::make_unique<Simulation::FleetSimulation>(mSettings);
      if (!mIsColdStart) {
        // Wait until all agents have their full history and slow start is over.
        mSimulation->advance(
          mSettings.fleet.replayWindow + Ownership::kMaxTransitTime +
          mSettings.fleet.slowStart + std::chrono::milliseconds(300));
      }
    }
    return *mSimulation;
  }

  /**
   * Returns a token, or "" if it is missing. "home:FLOW", "owner:FLOW" and
   * "other:FLOW" are resolved to target names.
   */
  std::string resolveName(const Tokens& aTokens, std::size_t aIndex)
  {
    if (aIndex >= aTokens.size()) {
      return "";
    }
    const auto& token = aTokens[aIndex];
    if (token.rfind("home:", 0) == 0) {
      return startedSimulation().homeTarget(token.substr(5));
    }
    if (token.rfind("owner:", 0) == 0) {
      return startedSimulation().ownerTarget(token.substr(6));
    }
    if (token.rfind("other:", 0) == 0) {
      return otherTarget(token.substr(6));
    }
    return token;
  }

  /** First target that neither owns the flow nor runs its home agent. */
  std::string otherTarget(const std::string& aFlow)
  {
    for (const auto& it : startedSimulation().targetNames()) {
      if (it != startedSimulation().homeTarget(aFlow) &&
          it != startedSimulation().ownerTarget(aFlow)) {
        return it;
      }
    }
    return "";
  }

  absl::Status runAction(const Tokens& aTokens)
  {
    auto& simulation = startedSimulation();
    const auto firstArgument = resolveName(aTokens, 1);
    const auto secondArgument = resolveName(aTokens, 2);
    const std::map<std::string, std::function<void()>> actions{
      { "wait", [&] { simulation.advance(time(aTokens, 1)); } },
      { "open", [&] { openFlows(aTokens); } },
      { "say",
        [&] {
          simulation.sendRequest(
            firstArgument, secondArgument, resolveName(aTokens, 3));
        } },
      { "repeat", [&] { retransmit(aTokens); } },
      { "close", [&] { simulation.closeFlow(firstArgument); } },
      { "callers-of-member", [&] { simulation.setCallersAreMembers(true); } },
      { "callers-of-none", [&] { simulation.setCallersAreMembers(false); } },
      { "abort", [&] { simulation.abortFlow(firstArgument); } },
      { "delay-next", [&] { simulation.delayNextPacket(time(aTokens, 1)); } },
      { "kill", [&] { simulation.kill(firstArgument); } },
      { "restart", [&] { simulation.restart(firstArgument); } },
      { "pause", [&] { simulation.suspend(firstArgument); } },
      { "resume", [&] { simulation.resume(firstArgument); } },
      { "cut", [&] { simulation.cutLink(firstArgument, secondArgument); } },
      { "cut-zone", [&] { simulation.partitionZone(firstArgument); } },
      { "heal", [&] { simulation.restoreLinks(); } },
      { "leave", [&] { simulation.startDraining(firstArgument); } },
      { "hold", [&] { simulation.blockViewUpdates(firstArgument); } },
      { "release", [&] { simulation.unblockViewUpdates(firstArgument); } },
      { "work",
        [&] { simulation.setWorkTime(firstArgument, time(aTokens, 2)); } },
      { "deaf", [&] { simulation.setUnresponsive(firstArgument, true); } },
      { "mark", [&] { recordAdmittedFlows(); } },
      { "hearing", [&] { simulation.setUnresponsive(firstArgument, false); } },
      { "promote-add", [&] { promoteAdd(firstArgument); } },
      { "promote-remove", [&] { promoteRemove(firstArgument); } },
      { "promote-drain", [&] { promoteDrain(firstArgument); } },
      { "promote-evacuate", [&] { promoteEvacuation(firstArgument); } },
      { "promote-return", [&] { promoteReturn(firstArgument); } },
      { "promote-slots", [&] { promoteSlots(number(aTokens, 1)); } },
    };
    const auto it = actions.find(aTokens[0]);
    if (it == actions.end()) {
      return absl::InvalidArgumentError("unknown step");
    }
    it->second();
    return absl::OkStatus();
  }

  /** "open CLASS FLOW [BALANCER]", or "open CLASS FLOW* COUNT". */
  void openFlows(const Tokens& aTokens)
  {
    const auto port = kPortsByClass.at(aTokens.at(1));
    const auto& flow = aTokens.at(2);
    if (flow.back() != '*') {
      startedSimulation().openFlow(flow, port, resolveName(aTokens, 3));
      return;
    }
    const auto prefix = flow.substr(0, flow.size() - 1);
    for (std::int64_t i = 1; i <= number(aTokens, 3); ++i) {
      startedSimulation().openFlow(absl::StrCat(prefix, i), port);
      startedSimulation().advance(std::chrono::milliseconds(2));
    }
  }

  /** Stores how many flows each target has admitted so far. */
  void recordAdmittedFlows()
  {
    for (const auto& it : startedSimulation().targetNames()) {
      mAdmittedAtMark[it] =
        startedSimulation().counter(it, Ownership::AgentCounter::FlowsAdmitted);
    }
  }

  /** "repeat FLOW [BALANCER]", or "repeat FLOW* COUNT". */
  void retransmit(const Tokens& aTokens)
  {
    const auto& flow = aTokens.at(1);
    if (flow.back() != '*') {
      startedSimulation().retransmit(flow, resolveName(aTokens, 2));
      return;
    }
    const auto prefix = flow.substr(0, flow.size() - 1);
    for (std::int64_t i = 1; i <= number(aTokens, 2); ++i) {
      startedSimulation().retransmit(absl::StrCat(prefix, i));
    }
  }

  void promoteAdd(const std::string& aTarget)
  {
    startedSimulation().promote([&](Simulation::FleetSettings& aSettings) {
      aSettings.targets.push_back(aTarget);
    });
  }

  void promoteRemove(const std::string& aTarget)
  {
    startedSimulation().promote([&](Simulation::FleetSettings& aSettings) {
      std::erase(aSettings.targets, aTarget);
    });
  }

  void promoteDrain(const std::string& aTarget)
  {
    startedSimulation().promote([&](Simulation::FleetSettings& aSettings) {
      aSettings.draining.insert(aTarget);
    });
  }

  void promoteEvacuation(const std::string& aZone)
  {
    startedSimulation().promote([&](Simulation::FleetSettings& aSettings) {
      aSettings.evacuatedZones.insert(aZone);
    });
  }

  void promoteReturn(const std::string& aZone)
  {
    startedSimulation().promote([&](Simulation::FleetSettings& aSettings) {
      aSettings.evacuatedZones.erase(aZone);
    });
  }

  void promoteSlots(std::int64_t aSlots)
  {
    startedSimulation().promote(
      [&](Simulation::FleetSettings& aSettings) { aSettings.slots = aSlots; });
  }

  absl::Status checkExpectation(const Tokens& aTokens)
  {
    const auto& subject = aTokens.at(1);
    if (subject == "runs") {
      return expectEqual(startedSimulation().runCount(resolveName(aTokens, 2)),
                         number(aTokens, 3));
    }
    if (subject == "owner") {
      return expectEqual(startedSimulation().ownerTarget(aTokens.at(2)),
                         resolveName(aTokens, 3));
    }
    if (subject == "owner-not") {
      const auto owner = startedSimulation().ownerTarget(aTokens.at(2));
      return owner != resolveName(aTokens, 3)
               ? absl::OkStatus()
               : absl::InternalError("found " + owner);
    }
    if (subject == "slots-in-use") {
      return expectEqual(
        startedSimulation().load(resolveName(aTokens, 2)).slotsInUse,
        number(aTokens, 3));
    }
    if (subject == "admitted") {
      return expectEqual(
        startedSimulation().counter(resolveName(aTokens, 2),
                                    Ownership::AgentCounter::FlowsAdmitted),
        number(aTokens, 3));
    }
    if (subject == "admitted-since-mark") {
      const auto target = resolveName(aTokens, 2);
      const auto admitted = startedSimulation().counter(
        target, Ownership::AgentCounter::FlowsAdmitted);
      return expectEqual(admitted - mAdmittedAtMark[target],
                         number(aTokens, 3));
    }
    if (subject == "admitted-between") {
      return expectBetween(
        startedSimulation().counter(resolveName(aTokens, 2),
                                    Ownership::AgentCounter::FlowsAdmitted),
        number(aTokens, 3),
        number(aTokens, 4));
    }
    if (subject == "all-answered" || subject == "all-refused") {
      return expectAll(aTokens);
    }
    if (subject == "count") {
      return expectCount(aTokens);
    }
    return expectFlow(aTokens);
  }

  template<typename Found, typename Expected>
  static absl::Status expectEqual(const Found& aFound,
                                  const Expected& aExpected)
  {
    if (absl::StrCat(aFound) == absl::StrCat(aExpected)) {
      return absl::OkStatus();
    }
    return absl::InternalError(absl::StrCat("found ", aFound));
  }

  static absl::Status expectBetween(std::int64_t aFound,
                                    std::int64_t aMinimum,
                                    std::int64_t aMaximum)
  {
    return aFound >= aMinimum && aFound <= aMaximum
             ? absl::OkStatus()
             : absl::InternalError(absl::StrCat("found ", aFound));
  }

  bool isTrue(const std::string& aFlow, const std::string& aFact)
  {
    const auto& flow = startedSimulation().flow(aFlow);
    const std::map<std::string, bool> facts{
      { "answered", flow.answerCount > 0 },
      { "answered-once", flow.answerCount == 1 },
      { "unanswered", flow.answerCount == 0 },
      { "refused", flow.isRefused },
      { "not-refused", !flow.isRefused },
      { "unknown", flow.isOutcomeUnknown },
      { "reset", flow.isReset },
      { "not-reset", !flow.isReset },
      { "established", flow.isEstablished },
      { "not-established", !flow.isEstablished },
      { "silent",
        flow.answerCount == 0 && !flow.isRefused && !flow.isOutcomeUnknown &&
          !flow.isReset && !flow.isEstablished },
    };
    return facts.at(aFact);
  }

  /** "expect FACT FLOW". */
  absl::Status expectFlow(const Tokens& aTokens)
  {
    if (isTrue(aTokens.at(2), aTokens.at(1))) {
      return absl::OkStatus();
    }
    const auto& flow = startedSimulation().flow(aTokens.at(2));
    return absl::InternalError(absl::StrCat("found answers ",
                                            flow.answerCount,
                                            ", refused ",
                                            flow.isRefused,
                                            ", unknown ",
                                            flow.isOutcomeUnknown,
                                            ", reset ",
                                            flow.isReset,
                                            ", established ",
                                            flow.isEstablished));
  }

  /** "expect all-answered PREFIX FIRST LAST". */
  absl::Status expectAll(const Tokens& aTokens)
  {
    const auto fact = aTokens[1].substr(4);
    for (auto i = number(aTokens, 3); i <= number(aTokens, 4); ++i) {
      const auto flow = absl::StrCat(aTokens.at(2), i);
      if (!isTrue(flow, fact)) {
        return absl::InternalError(flow + " does not meet the expectation");
      }
    }
    return absl::OkStatus();
  }

  /** "expect count FACT PREFIX FIRST LAST N". */
  absl::Status expectCount(const Tokens& aTokens)
  {
    std::int64_t count = 0;
    for (auto i = number(aTokens, 4); i <= number(aTokens, 5); ++i) {
      count += isTrue(absl::StrCat(aTokens.at(3), i), aTokens.at(2)) ? 1 : 0;
    }
    return expectEqual(count, number(aTokens, 6));
  }

  Simulation::SimulationSettings mSettings;
  std::int64_t mTargetCount = 7;
  bool mIsColdStart = false;
  std::map<std::string, std::uint64_t> mAdmittedAtMark;
  std::unique_ptr<Simulation::FleetSimulation> mSimulation;
};

} // namespace

absl::Status
runScenario(const Scenario& aScenario)
{
  try {
    return Runner().run(aScenario);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat(
      aScenario.name, ": missing or unknown argument: ", error.what()));
  }
}

} // namespace Scenarios
