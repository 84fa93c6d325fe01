#include "scenariorunner.h"

#include "world/world.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <functional>
#include <map>
#include <optional>

namespace Scenarios {

namespace {

using Words = std::vector<std::string>;

const std::map<std::string, std::uint16_t> kPorts{
  { "tcp", World::kTcpPort },
  { "once", World::kOncePort },
  { "udp", World::kUdpPort },
  { "stream", World::kStreamPort },
};

/** Does one step after the other; each method is one word of the language. */
class Runner
{
public:
  absl::Status run(const Scenario& aScenario)
  {
    for (const auto& step : aScenario.steps) {
      const auto status = runStep(step.words);
      if (!status.ok()) {
        return absl::Status(status.code(),
                            absl::StrCat(aScenario.file,
                                         ":",
                                         step.line,
                                         ": ",
                                         step.toText(),
                                         ": ",
                                         status.message()));
      }
    }
    const auto broken = world().brokenPromises();
    if (!broken.empty()) {
      return absl::InternalError(
        absl::StrCat(aScenario.file, ": ", absl::StrJoin(broken, "; ")));
    }
    return absl::OkStatus();
  }

private:
  absl::Status runStep(const Words& aWords)
  {
    if (isSetting(aWords)) {
      return mWorld == nullptr ? setUp(aWords)
                               : absl::InvalidArgumentError(
                                   "settings come before the first step");
    }
    if (aWords[0] == "expect") {
      return expect(aWords);
    }
    return act(aWords);
  }

  static bool isSetting(const Words& aWords)
  {
    static const std::set<std::string> sSettings{
      "targets",    "slots",      "connections",  "balancers", "window",
      "slow-start", "wait-limit", "member-share", "seed",      "jitter",
      "link-delay", "zone-first", "cold-start",   "trace",
    };
    return sSettings.contains(aWords[0]);
  }

  static std::int64_t number(const Words& aWords, std::size_t aIndex)
  {
    std::int64_t value = 0;
    if (aIndex < aWords.size()) {
      static_cast<void>(absl::SimpleAtoi(aWords[aIndex], &value));
    }
    return value;
  }

  static std::chrono::milliseconds time(const Words& aWords, std::size_t aIndex)
  {
    return std::chrono::milliseconds(number(aWords, aIndex));
  }

  absl::Status setUp(const Words& aWords)
  {
    auto& shape = mSettings.shape;
    const auto n = number(aWords, 1);
    const std::map<std::string, std::function<void()>> settings{
      { "targets", [&] { mTargets = n; } },
      { "slots", [&] { shape.slots = n; } },
      { "connections", [&] { shape.connections = n; } },
      { "balancers", [&] { shape.balancers = n; } },
      { "window", [&] { shape.replayWindow = time(aWords, 1); } },
      { "slow-start", [&] { shape.slowStart = time(aWords, 1); } },
      { "wait-limit", [&] { shape.waitLimit = time(aWords, 1); } },
      { "member-share", [&] { shape.memberShare = n; } },
      { "seed", [&] { mSettings.seed = n; } },
      { "jitter", [&] { mSettings.jitter = time(aWords, 1); } },
      { "link-delay", [&] { mSettings.linkDelay = time(aWords, 1); } },
      { "zone-first",
        [&] { shape.zonePreference = Config::ZonePreference::OwnFirst; } },
      { "cold-start", [&] { mIsCold = true; } },
      { "trace", [&] { mSettings.isTraced = true; } },
    };
    settings.at(aWords[0])();
    return absl::OkStatus();
  }

  World::World& world()
  {
    if (mWorld == nullptr) {
      for (std::int64_t i = 1; i <= mTargets; ++i) {
        mSettings.shape.targets.push_back(absl::StrCat("t", i));
      }
      mWorld = std::make_unique<World::World>(mSettings);
      if (!mIsCold) {
        // Until every agent remembers the whole replay window.
        mWorld->advance(mSettings.shape.replayWindow +
                        Ownership::kMaxTransitTime + mSettings.shape.slowStart +
                        std::chrono::milliseconds(300));
      }
    }
    return *mWorld;
  }

  /** "home:f" and "owner:f" stand for targets that the world knows. */
  std::string name(const Words& aWords, std::size_t aIndex)
  {
    if (aIndex >= aWords.size()) {
      return "";
    }
    const auto& word = aWords[aIndex];
    if (word.rfind("home:", 0) == 0) {
      return world().homeOf(word.substr(5));
    }
    if (word.rfind("owner:", 0) == 0) {
      return world().ownerOf(word.substr(6));
    }
    if (word.rfind("other:", 0) == 0) {
      return otherThan(word.substr(6));
    }
    return word;
  }

  /** The first target that is neither home nor owner of a flow. */
  std::string otherThan(const std::string& aFlow)
  {
    for (const auto& it : world().targetNames()) {
      if (it != world().homeOf(aFlow) && it != world().ownerOf(aFlow)) {
        return it;
      }
    }
    return "";
  }

  absl::Status act(const Words& aWords)
  {
    auto& w = world();
    const auto one = name(aWords, 1);
    const auto two = name(aWords, 2);
    const std::map<std::string, std::function<void()>> actions{
      { "wait", [&] { w.advance(time(aWords, 1)); } },
      { "open", [&] { open(aWords); } },
      { "say", [&] { w.say(one, two, name(aWords, 3)); } },
      { "repeat", [&] { repeat(aWords); } },
      { "close", [&] { w.closeFlow(one); } },
      { "callers-of-member", [&] { w.setCallersAreMembers(true); } },
      { "callers-of-none", [&] { w.setCallersAreMembers(false); } },
      { "abort", [&] { w.abortFlow(one); } },
      { "delay-next", [&] { w.delayNext(time(aWords, 1)); } },
      { "kill", [&] { w.kill(one); } },
      { "restart", [&] { w.restart(one); } },
      { "pause", [&] { w.pause(one); } },
      { "resume", [&] { w.resume(one); } },
      { "cut", [&] { w.cut(one, two); } },
      { "cut-zone", [&] { w.cutZone(one); } },
      { "heal", [&] { w.heal(); } },
      { "leave", [&] { w.startDraining(one); } },
      { "hold", [&] { w.hold(one); } },
      { "release", [&] { w.release(one); } },
      { "work", [&] { w.setWork(one, time(aWords, 2)); } },
      { "deaf", [&] { w.setDeaf(one, true); } },
      { "mark", [&] { mark(); } },
      { "hearing", [&] { w.setDeaf(one, false); } },
      { "promote-add", [&] { promoteAdd(one); } },
      { "promote-remove", [&] { promoteRemove(one); } },
      { "promote-drain", [&] { promoteDrain(one); } },
      { "promote-slots", [&] { promoteSlots(number(aWords, 1)); } },
    };
    const auto it = actions.find(aWords[0]);
    if (it == actions.end()) {
      return absl::InvalidArgumentError("unknown word");
    }
    it->second();
    return absl::OkStatus();
  }

  /** "open CLASS FLOW [BALANCER]", or "open CLASS FLOW* COUNT". */
  void open(const Words& aWords)
  {
    const auto port = kPorts.at(aWords.at(1));
    const auto& flow = aWords.at(2);
    if (flow.back() != '*') {
      world().openFlow(flow, port, name(aWords, 3));
      return;
    }
    const auto prefix = flow.substr(0, flow.size() - 1);
    for (std::int64_t i = 1; i <= number(aWords, 3); ++i) {
      world().openFlow(absl::StrCat(prefix, i), port);
      world().advance(std::chrono::milliseconds(2));
    }
  }

  /** Remembers what every target admitted so far. */
  void mark()
  {
    for (const auto& it : world().targetNames()) {
      mAdmittedAtMark[it] =
        world().counter(it, Ownership::AgentCounter::FlowsAdmitted);
    }
  }

  /** "repeat FLOW [BALANCER]", or "repeat FLOW* COUNT". */
  void repeat(const Words& aWords)
  {
    const auto& flow = aWords.at(1);
    if (flow.back() != '*') {
      world().repeat(flow, name(aWords, 2));
      return;
    }
    const auto prefix = flow.substr(0, flow.size() - 1);
    for (std::int64_t i = 1; i <= number(aWords, 2); ++i) {
      world().repeat(absl::StrCat(prefix, i));
    }
  }

  void promoteAdd(const std::string& aTarget)
  {
    world().promote(
      [&](World::FleetShape& aShape) { aShape.targets.push_back(aTarget); });
  }

  void promoteRemove(const std::string& aTarget)
  {
    world().promote(
      [&](World::FleetShape& aShape) { std::erase(aShape.targets, aTarget); });
  }

  void promoteDrain(const std::string& aTarget)
  {
    world().promote(
      [&](World::FleetShape& aShape) { aShape.draining.insert(aTarget); });
  }

  void promoteSlots(std::int64_t aSlots)
  {
    world().promote([&](World::FleetShape& aShape) { aShape.slots = aSlots; });
  }

  absl::Status expect(const Words& aWords)
  {
    const auto& what = aWords.at(1);
    if (what == "runs") {
      return same(world().runsOf(name(aWords, 2)), number(aWords, 3));
    }
    if (what == "owner") {
      return same(world().ownerOf(aWords.at(2)), name(aWords, 3));
    }
    if (what == "owner-not") {
      const auto owner = world().ownerOf(aWords.at(2));
      return owner != name(aWords, 3) ? absl::OkStatus()
                                      : absl::InternalError("found " + owner);
    }
    if (what == "slots-in-use") {
      return same(world().load(name(aWords, 2)).slotsInUse, number(aWords, 3));
    }
    if (what == "admitted") {
      return same(world().counter(name(aWords, 2),
                                  Ownership::AgentCounter::FlowsAdmitted),
                  number(aWords, 3));
    }
    if (what == "admitted-since-mark") {
      const auto target = name(aWords, 2);
      const auto admitted =
        world().counter(target, Ownership::AgentCounter::FlowsAdmitted);
      return same(admitted - mAdmittedAtMark[target], number(aWords, 3));
    }
    if (what == "admitted-between") {
      return between(world().counter(name(aWords, 2),
                                     Ownership::AgentCounter::FlowsAdmitted),
                     number(aWords, 3),
                     number(aWords, 4));
    }
    if (what == "all-answered" || what == "all-refused") {
      return expectAll(aWords);
    }
    if (what == "count") {
      return expectCount(aWords);
    }
    return expectFlow(aWords);
  }

  template<typename Found, typename Expected>
  static absl::Status same(const Found& aFound, const Expected& aExpected)
  {
    if (absl::StrCat(aFound) == absl::StrCat(aExpected)) {
      return absl::OkStatus();
    }
    return absl::InternalError(absl::StrCat("found ", aFound));
  }

  static absl::Status between(std::int64_t aFound,
                              std::int64_t aLowest,
                              std::int64_t aHighest)
  {
    return aFound >= aLowest && aFound <= aHighest
             ? absl::OkStatus()
             : absl::InternalError(absl::StrCat("found ", aFound));
  }

  bool has(const std::string& aFlow, const std::string& aWhat)
  {
    const auto& flow = world().flow(aFlow);
    const std::map<std::string, bool> facts{
      { "answered", flow.answers > 0 },
      { "answered-once", flow.answers == 1 },
      { "unanswered", flow.answers == 0 },
      { "refused", flow.isRefused },
      { "not-refused", !flow.isRefused },
      { "unknown", flow.isUnknown },
      { "reset", flow.isReset },
      { "not-reset", !flow.isReset },
      { "established", flow.isEstablished },
      { "not-established", !flow.isEstablished },
      { "silent",
        flow.answers == 0 && !flow.isRefused && !flow.isUnknown &&
          !flow.isReset && !flow.isEstablished },
    };
    return facts.at(aWhat);
  }

  /** "expect FACT FLOW". */
  absl::Status expectFlow(const Words& aWords)
  {
    if (has(aWords.at(2), aWords.at(1))) {
      return absl::OkStatus();
    }
    const auto& flow = world().flow(aWords.at(2));
    return absl::InternalError(absl::StrCat("found answers ",
                                            flow.answers,
                                            ", refused ",
                                            flow.isRefused,
                                            ", unknown ",
                                            flow.isUnknown,
                                            ", reset ",
                                            flow.isReset,
                                            ", established ",
                                            flow.isEstablished));
  }

  /** "expect all-answered PREFIX FIRST LAST". */
  absl::Status expectAll(const Words& aWords)
  {
    const auto fact = aWords[1].substr(4);
    for (auto i = number(aWords, 3); i <= number(aWords, 4); ++i) {
      const auto flow = absl::StrCat(aWords.at(2), i);
      if (!has(flow, fact)) {
        return absl::InternalError(flow + " is not");
      }
    }
    return absl::OkStatus();
  }

  /** "expect count FACT PREFIX FIRST LAST N". */
  absl::Status expectCount(const Words& aWords)
  {
    std::int64_t count = 0;
    for (auto i = number(aWords, 4); i <= number(aWords, 5); ++i) {
      count += has(absl::StrCat(aWords.at(3), i), aWords.at(2)) ? 1 : 0;
    }
    return same(count, number(aWords, 6));
  }

  World::WorldSettings mSettings;
  std::int64_t mTargets = 7;
  bool mIsCold = false;
  std::map<std::string, std::uint64_t> mAdmittedAtMark;
  std::unique_ptr<World::World> mWorld;
};

} // namespace

absl::Status
runScenario(const Scenario& aScenario)
{
  try {
    return Runner().run(aScenario);
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
      absl::StrCat(aScenario.file, ": a word is missing: ", error.what()));
  }
}

} // namespace Scenarios
