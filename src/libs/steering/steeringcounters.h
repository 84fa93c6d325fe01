#pragma once

#include "telemetry/counterset.h"

#include <string>

namespace Steering {

/** Counters of a balancer; see docs/operators/metrics.md. */
enum class SteeringCounter
{
  PacketsReceived,
  PacketsMalformed,
  PacketsForwarded,
  PacketsDelivered,
  PacketsToCallers,
  PacketsHandedBack,
  PacketsWithoutRoute,
  PacketsWithoutTarget,
  FlowsChosen,
  FlowsAcrossZones,
  FlowsAdmitted,
  FlowsRefused,
  FlowsSearched,
  FlowsFound,
  FlowsReset,
  FlowsTurnedAway,
  OpeningsRepeated,
  OpeningsUnanswered,
  OpeningsDropped,
  OpeningsExpired,
  OpeningsEvacuated,
  RequestsHeld,
  WrongService,
  TargetsSuspected,
  OwnerNotices,
  LoadReports,
  OwnerQueries,
  BytesToAgents,
  RequestsGivenUp,
  FlowsRefusedUnanswerable,
  FlowsChosenAgain,
  SlowStartRejects,
  SlowStartWaits,
  RequestsFailed,
  TargetsEjected,
  FlowsRejectedEjected,
  FlowsReplaced,
  Count,
};

using SteeringCounters = Telemetry::CounterSet<SteeringCounter>;

std::string
nameOf(SteeringCounter aCounter);

} // namespace Steering
