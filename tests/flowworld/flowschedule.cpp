#include "flowworld/flowschedule.h"

#include "flowworld/flowworld.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>

namespace FlowWorld {

namespace {

using namespace std::chrono_literals;

constexpr auto kLength = 15'000ms;
constexpr auto kQuiet = 6'000ms;
constexpr auto kSlice = 100ms;

/** Draws and does what happens in one schedule. */
class Player
{
public:
  explicit Player(unsigned aSeed)
    : mRandom(aSeed)
    , mWorld(settingsFor(aSeed))
    , mEnd(mWorld.now() + kLength)
  {
  }

  ScheduleResult play()
  {
    while (mWorld.now() < mEnd) {
      openFlows();
      if (chance(0.12)) {
        act();
      }
      undoDue();
      mWorld.advance(kSlice);
    }
    undoAll();
    mWorld.advance(kQuiet);
    mResult.broken = mWorld.brokenPromises();
    for (const auto& caller : mWorld.callers()) {
      mResult.requests += caller->requests().size();
      mResult.answered += caller->answered();
    }
    return mResult;
  }

private:
  struct Undo
  {
    Core::TimePoint at;
    std::function<void()> action;
  };

  static FlowWorldSettings settingsFor(unsigned aSeed)
  {
    std::mt19937_64 random(aSeed);
    FlowWorldSettings settings;
    settings.seed = aSeed;
    settings.balancersPerZone = 1 + random() % 3;
    settings.targets = 2 + random() % 5;
    settings.slots = 1 + random() % 6;
    settings.loss = random() % 3 == 0 ? 0.01 : 0.0;
    return settings;
  }

  bool chance(double aPart)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aPart;
  }

  std::string oneOf(const std::vector<std::string>& aNames)
  {
    return aNames[mRandom() % aNames.size()];
  }

  Core::Duration between(std::chrono::milliseconds aLeast,
                         std::chrono::milliseconds aMost)
  {
    return std::chrono::milliseconds(
      std::uniform_int_distribution<std::int64_t>(aLeast.count(),
                                                  aMost.count())(mRandom));
  }

  void note(const std::string& aText)
  {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      mWorld.now() - (mEnd - kLength));
    mResult.actions.push_back(absl::StrCat(at.count(), " ", aText));
  }

  void later(Core::Duration aTime, std::function<void()> aAction)
  {
    mUndo.push_back({ mWorld.now() + aTime, std::move(aAction) });
  }

  void openFlows()
  {
    const auto count = mRandom() % 3;
    for (std::uint64_t i = 0; i < count; ++i) {
      const auto* service = chance(0.7) ? "red" : "blue";
      const auto requests = chance(0.4) ? 1 + mRandom() % 6 : 1;
      mWorld.open(service, mRandom() % World::kZones, requests);
    }
  }

  void act()
  {
    switch (mRandom() % 8) {
      case 0:
        restartBalancer();
        break;
      case 1:
        restartAgent();
        break;
      case 2:
        freeze(oneOf(mWorld.balancerNames()));
        break;
      case 3:
        freeze(oneOf(mWorld.targetNames()));
        break;
      case 4:
        note("add a target");
        mWorld.addTarget(chance(0.7) ? "red" : "blue");
        break;
      case 5:
        drain();
        break;
      case 6:
        crash();
        break;
      case 7:
        holdMaps();
        break;
    }
  }

  void restartBalancer()
  {
    const auto name = oneOf(mWorld.balancerNames());
    note("kill " + name);
    mWorld.killBalancer(name);
    later(between(10ms, 1'500ms), [this, name] {
      note("start " + name);
      mWorld.startBalancer(name);
    });
  }

  void restartAgent()
  {
    const auto name = oneOf(mWorld.targetNames());
    note("kill the agent of " + name);
    mWorld.killAgent(name);
    later(between(10ms, 1'500ms), [this, name] { mWorld.startAgent(name); });
  }

  void freeze(const std::string& aName)
  {
    note("freeze " + aName);
    mWorld.freeze(aName);
    later(between(100ms, 3'000ms), [this, aName] { mWorld.thaw(aName); });
  }

  void drain()
  {
    const auto name = oneOf(mWorld.targetNames());
    if (!mDrained.insert(name).second || mDrained.size() > 2) {
      return;
    }
    note("drain " + name);
    mWorld.drainTarget(name);
  }

  void crash()
  {
    const auto name = oneOf(mWorld.targetNames());
    if (!mWorld.isAlive(name) || mCrashed >= 2) {
      return;
    }
    ++mCrashed;
    note("crash " + name);
    if (chance(0.5)) {
      mWorld.reuseAddress(name, chance(0.5) ? "red" : "blue");
    } else {
      mWorld.killTarget(name);
    }
  }

  void holdMaps()
  {
    const auto name = oneOf(mWorld.balancerNames());
    note("hold maps of " + name);
    mWorld.holdMaps(name);
    later(between(200ms, 4'000ms), [this, name] { mWorld.releaseMaps(name); });
  }

  void undoDue()
  {
    auto due = std::move(mUndo);
    mUndo.clear();
    for (auto& it : due) {
      if (it.at <= mWorld.now()) {
        it.action();
      } else {
        mUndo.push_back(std::move(it));
      }
    }
  }

  void undoAll()
  {
    for (const auto& it : mUndo) {
      it.action();
    }
    mUndo.clear();
  }

  std::mt19937_64 mRandom;
  World mWorld;
  Core::TimePoint mEnd;
  std::vector<Undo> mUndo;
  std::set<std::string> mDrained;
  int mCrashed = 0;
  ScheduleResult mResult;
};

} // namespace

ScheduleResult
playSchedule(unsigned aSeed)
{
  return Player(aSeed).play();
}

} // namespace FlowWorld
