#pragma once

#include <absl/strings/string_view.h>
#include <absl/types/span.h>

namespace Telemetry {

/** The numbered events in the logs; docs/EVENTS.md describes each of them. */
enum class Event
{
  ProcessStarted = 100,
  ProcessStopping = 101,
  ProcessStopped = 102,
  StartFailed = 104,
  ViewInForce = 200,
  ViewRefused = 201,
  ServiceUnreachable = 202,
  ServiceReachable = 203,
  PeerUnreachable = 204,
  InstanceListRefused = 205,
  EntryUnreadable = 206,
  SettingsReloaded = 207,
  SettingsRefused = 208,
  StoreRestored = 209,
  ZoneEvacuated = 210,
  ZoneReturned = 211,
  MapUnconfirmed = 212,
  MapConfirmed = 213,
  MalformedPacket = 300,
  WrongService = 301,
  FlowNotFound = 302,
  FlowRefused = 303,
  ClaimUnproven = 304,
  OpeningExpired = 305,
  FlowPlaced = 310,
  FlowSearched = 311,
  FlowFound = 312,
  PacketHandedBack = 313,
  TargetSuspected = 314,
  BalancerLoad = 315,
  FlowReplaced = 316,
  FlowAdmitted = 320,
  FlowTurnedAway = 321,
  FlowNotHeld = 322,
  RequestHeld = 323,
  RequestAnswered = 324,
  RequestGivenUp = 325,
  SlowStartLimited = 326,
  AgentLoad = 327,
  DrainStarted = 400,
  DrainFinished = 401,
  DrainDeadline = 402,
  FlowsAdopted = 403,
  ProcessSlept = 404,
  TargetSilent = 405,
  TargetAnswers = 406,
  BalancerIsolated = 407,
  BalancerConnected = 408,
  TargetEjected = 409,
  TargetReturned = 410,
};

enum class Severity
{
  Debug,
  Information,
  Warning,
  Error,
};

struct EventDescription
{
  Event event;
  Severity severity;
  /** The name in the logs, such as "view-in-force". */
  absl::string_view name;
};

/** All events, ordered by number. */
absl::Span<const EventDescription>
eventCatalogue();

const EventDescription&
describe(Event aEvent);

} // namespace Telemetry
