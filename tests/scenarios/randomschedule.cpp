#include "randomschedule.h"

#include "scenariorunner.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <random>

namespace Scenarios {

namespace {

/** Collects steps and draws from one source of randomness. */
class ScheduleBuilder
{
public:
  explicit ScheduleBuilder(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  template<typename... Parts>
  void add(const Parts&... aParts)
  {
    const auto text = absl::StrCat(aParts...);
    scenario.steps.push_back(
      { static_cast<int>(scenario.steps.size()) + 1,
        absl::StrSplit(text, ' ', absl::SkipWhitespace()) });
  }

  unsigned below(unsigned aLimit) { return mRandom() % aLimit; }

  void wait(unsigned aMilliseconds)
  {
    add("wait ", aMilliseconds);
    now += aMilliseconds;
  }

  /** Virtual time since the first step, in milliseconds. */
  unsigned now = 0;

  Scenario scenario;

private:
  std::mt19937 mRandom;
};

/** Times for which processes sleep and packets are late, in milliseconds. */
unsigned
faultTime(ScheduleBuilder& aBuilder)
{
  static const std::vector<unsigned> sTimes{ 1,    20,    150,   400,
                                             1200, 10000, 60000, 100000 };
  return sTimes[aBuilder.below(sTimes.size())];
}

void
addFault(ScheduleBuilder& aBuilder, unsigned aTargets, unsigned& aNextTarget)
{
  const auto target = absl::StrCat("t", 1 + aBuilder.below(aTargets));
  const auto other = absl::StrCat("t", 1 + aBuilder.below(aTargets));
  const auto balancer = absl::StrCat("b", 1 + aBuilder.below(3));
  switch (aBuilder.below(14)) {
    case 0:
      aBuilder.add("restart ", target);
      break;
    case 1:
      aBuilder.add("kill ", target);
      break;
    case 2:
    case 3:
      aBuilder.add("pause ", target);
      break;
    case 4:
    case 5:
      aBuilder.add("resume ", target);
      break;
    case 6:
      aBuilder.add("cut ", target, " ", other);
      break;
    case 7:
      aBuilder.add("cut-zone z", 1 + aBuilder.below(3));
      break;
    case 8:
      aBuilder.add("heal");
      break;
    case 9:
      aBuilder.add("restart ", balancer);
      break;
    case 10:
      aBuilder.add(aBuilder.below(2) == 0 ? "hold " : "release ",
                   aBuilder.below(2) == 0 ? target : balancer);
      break;
    case 11:
      aBuilder.add("promote-add t", aNextTarget++);
      break;
    case 12:
      aBuilder.add("promote-drain ", target);
      break;
    default:
      aBuilder.wait(faultTime(aBuilder));
      break;
  }
}

bool
isWindow(const Step& aStep)
{
  return aStep.words.front() == "window";
}

} // namespace

Scenario
makeFaultSchedule(unsigned aSeed, const ScheduleLimits& aLimits)
{
  constexpr unsigned kSteps = 60;
  ScheduleBuilder builder(aSeed);
  builder.scenario.file = absl::StrCat("seed ", aSeed);
  builder.scenario.promise = "a non-idempotent request runs at most once";
  const auto targets = 2 + builder.below(6);
  auto nextTarget = targets + 1;
  builder.add("targets ", targets);
  builder.add("slots ", 1 + builder.below(4));
  builder.add("window ", aLimits.windowMilliseconds);
  builder.add("seed ", aSeed);
  builder.add("jitter ", builder.below(2) * 8);
  unsigned flows = 0;
  std::vector<unsigned> openedAt{ 0 };
  // Nothing of a request may come later than the replay window allows.
  const auto mayComeAgain = [&](unsigned aFlow) {
    return builder.now + aLimits.delayMilliseconds <
           openedAt[aFlow] + aLimits.windowMilliseconds;
  };
  for (unsigned step = 0; step < kSteps; ++step) {
    if (builder.below(6) == 0) {
      builder.add("delay-next ",
                  std::min(faultTime(builder), aLimits.delayMilliseconds));
    }
    const auto choice = builder.below(10);
    const bool isRecent = flows > 0 && builder.below(3) != 0;
    if (choice < 3 || flows == 0) {
      builder.add("open once f", ++flows);
      openedAt.push_back(builder.now);
    } else if (choice < 6) {
      const auto flow = isRecent ? flows : 1 + builder.below(flows);
      if (mayComeAgain(flow)) {
        builder.add("repeat f", flow);
      }
    } else {
      addFault(builder, targets, nextTarget);
    }
    if (builder.below(2) == 0) {
      builder.wait(builder.below(30));
    }
  }
  builder.add("heal");
  builder.wait(500);
  return builder.scenario;
}

Scenario
makeModelSchedule(unsigned aSeed)
{
  constexpr unsigned kFlows = 60;
  constexpr unsigned kWorkMilliseconds = 400;
  constexpr unsigned kSettleMilliseconds = 20;
  ScheduleBuilder builder(aSeed);
  builder.scenario.file = absl::StrCat("model seed ", aSeed);
  builder.scenario.promise = "no flow is refused while a target has room";
  const auto targets = 2 + builder.below(6);
  const auto slots = 1 + builder.below(3);
  builder.add("targets ", targets);
  builder.add("slots ", slots);
  builder.add("seed ", aSeed);
  for (unsigned i = 1; i <= targets; ++i) {
    builder.add("work t", i, " ", kWorkMilliseconds);
  }
  // The model: one list of the times at which slots become free.
  std::vector<unsigned> busyUntil;
  unsigned now = 0;
  std::vector<bool> isAnswered;
  for (unsigned flow = 1; flow <= kFlows; ++flow) {
    std::erase_if(busyUntil, [now](unsigned aTime) { return aTime <= now; });
    const bool hasRoom = busyUntil.size() < targets * slots;
    isAnswered.push_back(hasRoom);
    if (hasRoom) {
      busyUntil.push_back(now + kWorkMilliseconds + kSettleMilliseconds);
    }
    builder.add("open ", builder.below(2) == 0 ? "udp" : "once", " f", flow);
    // Never so near an end that the order would be a matter of delays.
    auto wait = kSettleMilliseconds * (1 + builder.below(4));
    const auto isNearEnd = [&](unsigned aTime) {
      return now + wait + 2 * kSettleMilliseconds > aTime &&
             now + wait < aTime + kSettleMilliseconds;
    };
    while (std::any_of(busyUntil.begin(), busyUntil.end(), isNearEnd)) {
      wait += kSettleMilliseconds;
    }
    builder.add("wait ", wait);
    now += wait;
  }
  builder.add("wait 1000");
  for (unsigned flow = 1; flow <= kFlows; ++flow) {
    builder.add(isAnswered[flow - 1] ? "expect answered-once f"
                                     : "expect refused f",
                flow);
  }
  return builder.scenario;
}

Scenario
shrink(const Scenario& aScenario)
{
  auto smallest = aScenario;
  for (auto chunk = smallest.steps.size() / 2; chunk > 0; chunk /= 2) {
    for (std::size_t at = 0; at + chunk <= smallest.steps.size();) {
      auto candidate = smallest;
      const auto first = candidate.steps.begin() + at;
      // A shorter replay window would allow what the promise forbids.
      if (std::any_of(first, first + chunk, isWindow)) {
        at += chunk;
        continue;
      }
      candidate.steps.erase(first, first + chunk);
      const auto status = runScenario(candidate);
      const bool failsAlike = status.code() == absl::StatusCode::kInternal;
      if (failsAlike) {
        smallest = candidate;
      } else {
        at += chunk;
      }
    }
  }
  return smallest;
}

} // namespace Scenarios
