#include "ownership/agentcounters.h"

namespace Ownership {

std::string
nameOf(AgentCounter aCounter)
{
  switch (aCounter) {
    case AgentCounter::PacketsReceived:
      return "packets_received";
    case AgentCounter::PacketsMalformed:
      return "packets_malformed";
    case AgentCounter::PacketsWrongService:
      return "packets_wrong_service";
    case AgentCounter::PacketsDelivered:
      return "packets_delivered";
    case AgentCounter::PacketsToCallers:
      return "packets_to_callers";
    case AgentCounter::PacketsForwarded:
      return "packets_forwarded";
    case AgentCounter::PacketsHopLimit:
      return "packets_hop_limit";
    case AgentCounter::PacketsLeaseExpired:
      return "packets_lease_expired";
    case AgentCounter::FlowsAdmitted:
      return "flows_admitted";
    case AgentCounter::FlowsAdopted:
      return "flows_adopted";
    case AgentCounter::FlowsEnded:
      return "flows_ended";
    case AgentCounter::FlowsReturned:
      return "flows_returned";
    case AgentCounter::FlowsReturnedEvacuated:
      return "flows_returned_evacuated";
    case AgentCounter::FlowsRefused:
      return "flows_refused";
    case AgentCounter::FlowsWaited:
      return "flows_waited";
    case AgentCounter::FlowsNotFound:
      return "flows_not_found";
    case AgentCounter::FlowsSearched:
      return "flows_searched";
    case AgentCounter::ClaimsGranted:
      return "claims_granted";
    case AgentCounter::ClaimsDenied:
      return "claims_denied";
    case AgentCounter::ClaimsUnproven:
      return "claims_unproven";
    case AgentCounter::DuplicatesSuppressed:
      return "duplicates_suppressed";
    case AgentCounter::AnswersRepeated:
      return "answers_repeated";
    case AgentCounter::LoadReportsSent:
      return "load_reports_sent";
    case AgentCounter::LoadReportsReceived:
      return "load_reports_received";
    case AgentCounter::BackendPacketsUnknown:
      return "backend_packets_unknown";
    case AgentCounter::Count:
      break;
  }
  return "unknown";
}

} // namespace Ownership
