#pragma once

#include "telemetry/counterset.h"

#include <string>

namespace Ownership {

/** The counters of an agent; see docs/operators/metrics.md. */
enum class AgentCounter
{
  PacketsReceived,
  PacketsMalformed,
  PacketsWrongService,
  PacketsDelivered,
  PacketsToCallers,
  PacketsForwarded,
  PacketsHopLimit,
  PacketsLeaseExpired,
  FlowsAdmitted,
  FlowsAdopted,
  FlowsEnded,
  FlowsReturned,
  /** The part of FlowsReturned that the evacuation of the zone causes. */
  FlowsReturnedEvacuated,
  FlowsRefused,
  FlowsWaited,
  FlowsNotFound,
  FlowsSearched,
  ClaimsGranted,
  ClaimsDenied,
  ClaimsUnproven,
  DuplicatesSuppressed,
  AnswersRepeated,
  LoadReportsSent,
  LoadReportsReceived,
  BackendPacketsUnknown,
  Count,
};

using AgentCounters = Telemetry::CounterSet<AgentCounter>;

/** The name of the counter in metrics. */
std::string
nameOf(AgentCounter aCounter);

} // namespace Ownership
