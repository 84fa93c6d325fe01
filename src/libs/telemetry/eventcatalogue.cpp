#include "telemetry/eventcatalogue.h"

#include <algorithm>
#include <array>

namespace Telemetry {

namespace {

constexpr std::array kEvents{
  EventDescription{ Event::ProcessStarted,
                    Severity::Information,
                    "process-started" },
  EventDescription{ Event::ProcessStopping,
                    Severity::Information,
                    "process-stopping" },
  EventDescription{ Event::ProcessStopped,
                    Severity::Information,
                    "process-stopped" },
  EventDescription{ Event::StartFailed, Severity::Error, "start-failed" },
  EventDescription{ Event::ViewInForce,
                    Severity::Information,
                    "view-in-force" },
  EventDescription{ Event::ViewRefused, Severity::Error, "view-refused" },
  EventDescription{ Event::ServiceUnreachable,
                    Severity::Warning,
                    "service-unreachable" },
  EventDescription{ Event::ServiceReachable,
                    Severity::Information,
                    "service-reachable" },
  EventDescription{ Event::PeerUnreachable,
                    Severity::Warning,
                    "peer-unreachable" },
  EventDescription{ Event::InstanceListRefused,
                    Severity::Error,
                    "instance-list-refused" },
  EventDescription{ Event::EntryUnreadable,
                    Severity::Warning,
                    "entry-unreadable" },
  EventDescription{ Event::SettingsReloaded,
                    Severity::Information,
                    "settings-reloaded" },
  EventDescription{ Event::SettingsRefused,
                    Severity::Error,
                    "settings-refused" },
  EventDescription{ Event::StoreRestored, Severity::Warning, "store-restored" },
  EventDescription{ Event::ZoneEvacuated, Severity::Warning, "zone-evacuated" },
  EventDescription{ Event::ZoneReturned,
                    Severity::Information,
                    "zone-returned" },
  EventDescription{ Event::MapUnconfirmed,
                    Severity::Warning,
                    "map-unconfirmed" },
  EventDescription{ Event::MapConfirmed,
                    Severity::Information,
                    "map-confirmed" },
  EventDescription{ Event::MalformedPacket,
                    Severity::Warning,
                    "malformed-packet" },
  EventDescription{ Event::WrongService, Severity::Warning, "wrong-service" },
  EventDescription{ Event::FlowNotFound, Severity::Warning, "flow-not-found" },
  EventDescription{ Event::FlowRefused, Severity::Warning, "flow-refused" },
  EventDescription{ Event::ClaimUnproven, Severity::Warning, "claim-unproven" },
  EventDescription{ Event::OpeningExpired,
                    Severity::Warning,
                    "opening-expired" },
  EventDescription{ Event::FlowPlaced, Severity::Information, "flow-placed" },
  EventDescription{ Event::FlowSearched,
                    Severity::Information,
                    "flow-searched" },
  EventDescription{ Event::FlowFound, Severity::Information, "flow-found" },
  EventDescription{ Event::PacketHandedBack,
                    Severity::Information,
                    "packet-handed-back" },
  EventDescription{ Event::TargetSuspected,
                    Severity::Warning,
                    "target-suspected" },
  EventDescription{ Event::BalancerLoad,
                    Severity::Information,
                    "balancer-load" },
  EventDescription{ Event::FlowReplaced,
                    Severity::Information,
                    "flow-replaced" },
  EventDescription{ Event::FlowAdmitted,
                    Severity::Information,
                    "flow-admitted" },
  EventDescription{ Event::FlowTurnedAway,
                    Severity::Information,
                    "flow-turned-away" },
  EventDescription{ Event::FlowNotHeld,
                    Severity::Information,
                    "flow-not-held" },
  EventDescription{ Event::RequestHeld, Severity::Information, "request-held" },
  EventDescription{ Event::RequestAnswered,
                    Severity::Information,
                    "request-answered" },
  EventDescription{ Event::RequestGivenUp,
                    Severity::Information,
                    "request-given-up" },
  EventDescription{ Event::SlowStartLimited,
                    Severity::Information,
                    "slow-start-limited" },
  EventDescription{ Event::AgentLoad, Severity::Information, "agent-load" },
  EventDescription{ Event::DrainStarted,
                    Severity::Information,
                    "drain-started" },
  EventDescription{ Event::DrainFinished,
                    Severity::Information,
                    "drain-finished" },
  EventDescription{ Event::DrainDeadline, Severity::Warning, "drain-deadline" },
  EventDescription{ Event::FlowsAdopted,
                    Severity::Information,
                    "flows-adopted" },
  EventDescription{ Event::ProcessSlept, Severity::Warning, "process-slept" },
  EventDescription{ Event::TargetSilent, Severity::Warning, "target-silent" },
  EventDescription{ Event::TargetAnswers,
                    Severity::Information,
                    "target-answers" },
  EventDescription{ Event::BalancerIsolated,
                    Severity::Warning,
                    "balancer-isolated" },
  EventDescription{ Event::BalancerConnected,
                    Severity::Information,
                    "balancer-connected" },
  EventDescription{ Event::TargetEjected, Severity::Warning, "target-ejected" },
  EventDescription{ Event::TargetReturned,
                    Severity::Information,
                    "target-returned" },
};

} // namespace

absl::Span<const EventDescription>
eventCatalogue()
{
  return kEvents;
}

const EventDescription&
describe(Event aEvent)
{
  const auto* const it =
    std::find_if(kEvents.begin(),
                 kEvents.end(),
                 [aEvent](const EventDescription& aDescription) {
                   return aDescription.event == aEvent;
                 });
  return *it;
}

} // namespace Telemetry
