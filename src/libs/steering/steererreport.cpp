#include "steering/steererreport.h"

#include <algorithm>

namespace Steering {

SteererReport::SteererReport(const SteeringCounters& aCounters)
  : mIncreases(aCounters,
               { SteeringCounter::PacketsReceived,
                 SteeringCounter::PacketsForwarded,
                 SteeringCounter::OwnerQueries,
                 SteeringCounter::FlowsSearched,
                 SteeringCounter::FlowsFound,
                 SteeringCounter::BytesToAgents,
                 SteeringCounter::FlowsChosen,
                 SteeringCounter::FlowsChosenAgain,
                 SteeringCounter::FlowsTurnedAway,
                 SteeringCounter::FlowsRejectedEjected,
                 SteeringCounter::FlowsRefused,
                 SteeringCounter::FlowsRefusedUnanswerable,
                 SteeringCounter::OpeningsRepeated,
                 SteeringCounter::OpeningsExpired })
{
}

void
SteererReport::recordReplyTime(std::chrono::milliseconds aReplyTime)
{
  mLongestReplyTime = std::max(mLongestReplyTime, aReplyTime);
}

void
SteererReport::tick(const PendingWork& aWork,
                    Telemetry::EventLog& aEvents,
                    Core::TimePoint aNow)
{
  if (mLastTickAt != Core::TimePoint{}) {
    mLongestPause =
      std::max(mLongestPause,
               std::chrono::duration_cast<std::chrono::milliseconds>(
                 aNow - mLastTickAt));
  }
  mLastTickAt = aWork.isNone() ? Core::TimePoint{} : aNow;
  if (aNow - mLastReportAt < kInterval) {
    return;
  }
  if (!aWork.isNone()) {
    aEvents.write(Telemetry::Event::BalancerLoad,
                  [&] { return createFields(aWork); });
  }
  mIncreases.restart();
  mLastReportAt = aNow;
  mLongestReplyTime = {};
  mLongestPause = {};
}

Telemetry::EventFields
SteererReport::createFields(const PendingWork& aWork) const
{
  Telemetry::EventFields fields;
  fields.add("searches", aWork.searches)
    .add("newFlows", aWork.newFlows)
    .add("suspected", aWork.suspectedAgents)
    .add("replyMs", mLongestReplyTime)
    .add("pauseMs", mLongestPause);
  mIncreases.addTo(fields);
  return fields;
}

} // namespace Steering
