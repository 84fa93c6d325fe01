#include "steering/counterincreases.h"

#include <doctest/doctest.h>

// Guards against lines that show totals, from which nobody can tell what
// happened in one second.
TEST_CASE("a line shows the counters that have grown since the line before")
{
  using Steering::SteeringCounter;
  Steering::SteeringCounters counters;
  counters.increment(SteeringCounter::FlowsAdmitted, 3);
  Steering::CounterIncreases increases(
    counters,
    { SteeringCounter::FlowsAdmitted, SteeringCounter::RequestsFailed });
  const auto nextLine = [&] {
    Telemetry::EventFields fields;
    increases.addTo(fields);
    increases.restart();
    return fields.toText();
  };
  CHECK(nextLine() == "flows_admitted=3");
  counters.increment(SteeringCounter::FlowsAdmitted, 2);
  counters.increment(SteeringCounter::RequestsFailed);
  CHECK(nextLine() == "flows_admitted=2 requests_failed=1");
  CHECK(nextLine().empty());
}
