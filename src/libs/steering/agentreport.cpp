#include "steering/agentreport.h"

namespace Steering {

AgentReport::AgentReport(const SteeringCounters& aCounters)
  : mIncreases(aCounters,
               { SteeringCounter::FlowsAdmitted,
                 SteeringCounter::FlowsTurnedAway,
                 SteeringCounter::FlowsRejectedEjected,
                 SteeringCounter::SlowStartRejects,
                 SteeringCounter::OpeningsUnanswered,
                 SteeringCounter::RequestsHeld,
                 SteeringCounter::RequestsGivenUp,
                 SteeringCounter::RequestsFailed })
{
}

void
AgentReport::tick(const AgentWork& aWork,
                  Telemetry::EventLog& aEvents,
                  Core::TimePoint aNow)
{
  if (aNow - mLastReportAt < kInterval) {
    return;
  }
  mLastReportAt = aNow;
  aEvents.write(Telemetry::Event::AgentLoad, [&] {
    Telemetry::EventFields fields;
    fields.add("delivered", aWork.delivered)
      .add("expected", aWork.expected)
      .add("waiting", aWork.queued)
      .add("slots", aWork.slots)
      .add("serviceMs", aWork.serviceTime);
    mIncreases.addTo(fields);
    return fields;
  });
  mIncreases.restart();
}

} // namespace Steering
