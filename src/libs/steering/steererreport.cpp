#include "steering/steererreport.h"

#include <algorithm>

namespace Steering {

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
  for (std::size_t i = 0; i < kCounters.size(); ++i) {
    mPreviousValues[i] = mCounters.value(kCounters[i]);
  }
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
  for (std::size_t i = 0; i < kCounters.size(); ++i) {
    fields.add(nameOf(kCounters[i]).c_str(),
               mCounters.value(kCounters[i]) - mPreviousValues[i]);
  }
  return fields;
}

} // namespace Steering
