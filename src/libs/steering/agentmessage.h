#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Steering {

/** What a datagram between a balancer and an agent is about. */
enum class MessageKind : std::uint8_t
{
  /** Balancer to agent: a caller's packet follows. */
  Forward = 1,
  /** Agent to balancer: the caller's packet follows, it was not taken. */
  HandBack = 2,
  /** Agent to balancer: its backend server holds the flow. */
  OwnerNotice = 3,
  /** Agent to balancer: its load. */
  LoadReport = 4,
  /** Balancer to agent: asks for a load report. */
  Probe = 5,
  /** Balancer to agent: asks for an owner notice if it knows the flow. */
  Locate = 6,
  /** Balancer to agent: another agent has the flow; an owner hint follows. */
  NoteOwner = 7,
  /** Agent to balancer, to a Locate: an owner hint that it was told. */
  OwnerElsewhere = 8,
};

/** Why an agent handed a packet back. */
enum class HandBackReason : std::uint8_t
{
  None = 0,
  /** Every slot is in use; the backend server did not see the packet. */
  Full = 1,
  /** The backend server refused the opening packet. */
  Refused = 2,
  /** The backend server does not hold the flow. */
  NotHeld = 3,
  /** This agent stands beside another service. */
  WrongService = 4,
  /** The backend server left an opening packet unanswered. */
  Silent = 5,
  /** The agent is stopping. */
  Leaving = 6,
};

/** The reason in words, for logs. */
const char*
nameOf(HandBackReason aReason);

/** An agent's load, told in each of its messages. */
struct ReportedLoad
{
  /** Requests that the backend server works on, or will before new ones. */
  std::uint16_t inProgress = 0;
  /** Requests that are late already and wait for a slot. */
  std::uint16_t lateRequests = 0;
  /** Flows that stay open for many requests. */
  std::uint16_t longFlows = 0;
  /** Mean time to answer a request. */
  std::chrono::milliseconds serviceTime{ 0 };
  /** True while the backend server should get no new flow. */
  bool isUnavailable = false;
  /** The agent runs for so long that it knows each flow in use. */
  bool knowsAllFlows = false;
};

/**
 * The head of each datagram between balancers and agents. All numbers are in
 * network byte order; times are in milliseconds, up to a minute.
 */
struct AgentMessage
{
  static constexpr std::size_t kBytes = 20;

  MessageKind kind = MessageKind::Probe;
  HandBackReason reason = HandBackReason::None;
  /** Forward: the balancer does not know for sure who holds the flow. */
  bool wantsNotice = false;
  /** Forward: the flow is of a class that keeps flows open. */
  bool isLongFlow = false;
  /**
   * The newest revision of the map that the sender knows of, its low 32 bits.
   * A balancer thus learns that others know more than it does.
   */
  std::uint32_t mapRevision = 0;
  /** Forward: tells services apart; see FleetMap::serviceTag(). */
  std::uint32_t serviceTag = 0;
  /** Forward: slots of the backend server as the balancer knows them. */
  std::uint16_t slots = 0;
  /** Forward: how long the caller has waited for its opening packet. */
  std::chrono::milliseconds age{ 0 };
  /** Forward: answers that come later are worth less. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Forward: the caller gives up after this. */
  std::chrono::milliseconds timeout{ 0 };
  /** All messages of an agent. */
  ReportedLoad load;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  /** Reads the head; the body starts at kBytes. */
  static absl::StatusOr<AgentMessage> parse(
    absl::Span<const std::uint8_t> aData);
};

/** The body of an owner notice, and of the question for one. */
struct OwnerNotice
{
  Packet::FlowKey flow;
  /** First sequence number of the backend server; 0 when not known. */
  std::uint32_t sequence = 0;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  static absl::StatusOr<OwnerNotice> parse(
    absl::Span<const std::uint8_t> aBody);
};

/** Which agent was seen to have a flow. It may have lost it since. */
struct OwnerHint
{
  Packet::FlowKey flow;
  Core::Endpoint agent;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  static absl::StatusOr<OwnerHint> parse(absl::Span<const std::uint8_t> aBody);
};

} // namespace Steering
