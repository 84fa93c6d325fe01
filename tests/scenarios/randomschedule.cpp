#include "randomschedule.h"

#include "scenariorunner.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <random>

namespace Scenarios {

namespace {

/** Collects the steps of a schedule and supplies its random numbers. */
class ScheduleBuilder
{
public:
  explicit ScheduleBuilder(unsigned aSeed)
    : mRandom(aSeed)
  {
  }

  template<typename... Parts>
  void addStep(const Parts&... aParts)
  {
    const auto text = absl::StrCat(aParts...);
    scenario.steps.push_back(
      { static_cast<int>(scenario.steps.size()) + 1,
        absl::StrSplit(text, ' ', absl::SkipWhitespace()) });
  }

  unsigned randomBelow(unsigned aLimit) { return mRandom() % aLimit; }

  void addWait(unsigned aMilliseconds)
  {
    addStep("wait ", aMilliseconds);
    now += aMilliseconds;
  }

  /** Simulated time since the first step, in milliseconds. */
  unsigned now = 0;

  Scenario scenario;

private:
  std::mt19937 mRandom;
};

/** Random duration of a suspension or a packet delay, in milliseconds. */
unsigned
randomFaultDuration(ScheduleBuilder& aBuilder)
{
  static const std::vector<unsigned> sDurations{ 1,    20,    150,   400,
                                                 1200, 10000, 60000, 100000 };
  return sDurations[aBuilder.randomBelow(sDurations.size())];
}

void
addFault(ScheduleBuilder& aBuilder,
         unsigned aTargetCount,
         unsigned& aNextTargetNumber)
{
  const auto target = absl::StrCat("t", 1 + aBuilder.randomBelow(aTargetCount));
  const auto other = absl::StrCat("t", 1 + aBuilder.randomBelow(aTargetCount));
  const auto balancer = absl::StrCat("b", 1 + aBuilder.randomBelow(3));
  switch (aBuilder.randomBelow(14)) {
    case 0:
      aBuilder.addStep("restart ", target);
      break;
    case 1:
      aBuilder.addStep("kill ", target);
      break;
    case 2:
    case 3:
      aBuilder.addStep("pause ", target);
      break;
    case 4:
    case 5:
      aBuilder.addStep("resume ", target);
      break;
    case 6:
      aBuilder.addStep("cut ", target, " ", other);
      break;
    case 7:
      aBuilder.addStep("cut-zone z", 1 + aBuilder.randomBelow(3));
      break;
    case 8:
      aBuilder.addStep("heal");
      break;
    case 9:
      aBuilder.addStep("restart ", balancer);
      break;
    case 10:
      aBuilder.addStep(aBuilder.randomBelow(2) == 0 ? "hold " : "release ",
                       aBuilder.randomBelow(2) == 0 ? target : balancer);
      break;
    case 11:
      aBuilder.addStep("promote-add t", aNextTargetNumber++);
      break;
    case 12:
      aBuilder.addStep("promote-drain ", target);
      break;
    default:
      aBuilder.addWait(randomFaultDuration(aBuilder));
      break;
  }
}

bool
isReplayWindowSetting(const Step& aStep)
{
  return aStep.tokens.front() == "window";
}

} // namespace

Scenario
makeFaultSchedule(unsigned aSeed, const ScheduleLimits& aLimits)
{
  constexpr unsigned kStepCount = 60;
  ScheduleBuilder builder(aSeed);
  builder.scenario.name = absl::StrCat("seed ", aSeed);
  builder.scenario.guarantee = "a non-idempotent request runs at most once";
  const auto targetCount = 2 + builder.randomBelow(6);
  auto nextTargetNumber = targetCount + 1;
  builder.addStep("targets ", targetCount);
  builder.addStep("slots ", 1 + builder.randomBelow(4));
  builder.addStep("window ", aLimits.replayWindowMilliseconds);
  builder.addStep("seed ", aSeed);
  builder.addStep("jitter ", builder.randomBelow(2) * 8);
  unsigned flowCount = 0;
  std::vector<unsigned> openedAt{ 0 };
  // No packet of a request may arrive after its replay window has passed.
  const auto canRetransmit = [&](unsigned aFlow) {
    return builder.now + aLimits.maxDelayMilliseconds <
           openedAt[aFlow] + aLimits.replayWindowMilliseconds;
  };
  for (unsigned step = 0; step < kStepCount; ++step) {
    if (builder.randomBelow(6) == 0) {
      builder.addStep(
        "delay-next ",
        std::min(randomFaultDuration(builder), aLimits.maxDelayMilliseconds));
    }
    const auto choice = builder.randomBelow(10);
    const bool shouldUseLatestFlow =
      flowCount > 0 && builder.randomBelow(3) != 0;
    if (choice < 3 || flowCount == 0) {
      builder.addStep("open once f", ++flowCount);
      openedAt.push_back(builder.now);
    } else if (choice < 6) {
      const auto flow =
        shouldUseLatestFlow ? flowCount : 1 + builder.randomBelow(flowCount);
      if (canRetransmit(flow)) {
        builder.addStep("repeat f", flow);
      }
    } else {
      addFault(builder, targetCount, nextTargetNumber);
    }
    if (builder.randomBelow(2) == 0) {
      builder.addWait(builder.randomBelow(30));
    }
  }
  builder.addStep("heal");
  builder.addWait(500);
  return builder.scenario;
}

Scenario
makeModelSchedule(unsigned aSeed)
{
  constexpr unsigned kFlowCount = 60;
  constexpr unsigned kWorkTimeMilliseconds = 400;
  constexpr unsigned kSettleTimeMilliseconds = 20;
  ScheduleBuilder builder(aSeed);
  builder.scenario.name = absl::StrCat("model seed ", aSeed);
  builder.scenario.guarantee =
    "no flow is refused while a target has a free slot";
  const auto targetCount = 2 + builder.randomBelow(6);
  const auto slotCount = 1 + builder.randomBelow(3);
  builder.addStep("targets ", targetCount);
  builder.addStep("slots ", slotCount);
  builder.addStep("seed ", aSeed);
  for (unsigned i = 1; i <= targetCount; ++i) {
    builder.addStep("work t", i, " ", kWorkTimeMilliseconds);
  }
  // The model is a list of the times at which occupied slots become free.
  std::vector<unsigned> busyUntil;
  unsigned now = 0;
  std::vector<bool> isAnswerExpected;
  for (unsigned flow = 1; flow <= kFlowCount; ++flow) {
    std::erase_if(busyUntil, [now](unsigned aTime) { return aTime <= now; });
    const bool hasFreeSlot = busyUntil.size() < targetCount * slotCount;
    isAnswerExpected.push_back(hasFreeSlot);
    if (hasFreeSlot) {
      busyUntil.push_back(now + kWorkTimeMilliseconds +
                          kSettleTimeMilliseconds);
    }
    builder.addStep(
      "open ", builder.randomBelow(2) == 0 ? "udp" : "once", " f", flow);
    // Keep a distance from slot releases. Otherwise, packet delays would
    // decide which event comes first.
    auto waitMilliseconds =
      kSettleTimeMilliseconds * (1 + builder.randomBelow(4));
    const auto isNearSlotRelease = [&](unsigned aTime) {
      return now + waitMilliseconds + 2 * kSettleTimeMilliseconds > aTime &&
             now + waitMilliseconds < aTime + kSettleTimeMilliseconds;
    };
    while (std::any_of(busyUntil.begin(), busyUntil.end(), isNearSlotRelease)) {
      waitMilliseconds += kSettleTimeMilliseconds;
    }
    builder.addStep("wait ", waitMilliseconds);
    now += waitMilliseconds;
  }
  builder.addStep("wait 1000");
  for (unsigned flow = 1; flow <= kFlowCount; ++flow) {
    builder.addStep(isAnswerExpected[flow - 1] ? "expect answered-once f"
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
    for (std::size_t position = 0; position + chunk <= smallest.steps.size();) {
      auto candidate = smallest;
      const auto first = candidate.steps.begin() + position;
      // Keep the replay window: with a shorter one, a scenario could fail
      // without violating the guarantee.
      if (std::any_of(first, first + chunk, isReplayWindowSetting)) {
        position += chunk;
        continue;
      }
      candidate.steps.erase(first, first + chunk);
      const auto status = runScenario(candidate);
      const bool hasFailedCheck = status.code() == absl::StatusCode::kInternal;
      if (hasFailedCheck) {
        smallest = candidate;
      } else {
        position += chunk;
      }
    }
  }
  return smallest;
}

} // namespace Scenarios
