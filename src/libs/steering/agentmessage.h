#pragma once

#include "steering/maprevision.h"
#include "steering/replyprogress.h"

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/** Purpose of a datagram between a balancer and an agent; selects its body. */
enum class MessageKind : std::uint8_t
{
  /** Balancer to agent: forwards a caller's packet, which follows. */
  Forward = 1,
  /** Agent to balancer: rejects a caller's packet, which follows. */
  Reject = 2,
  /** Agent to balancer: its backend server owns the flow. */
  OwnerNotice = 3,
  /** Agent to balancer: the agent's load. */
  LoadReport = 4,
  /** Balancer to agent: requests a load report. */
  Probe = 5,
  /**
   * Balancer to agent: queries the owner of a flow. The agent replies with an
   * owner notice, an owner hint, or, if that is requested, that it knows no
   * owner.
   */
  OwnerQuery = 6,
  /** Balancer to agent: another agent owns the flow; an owner hint follows. */
  StoreOwnerHint = 7,
  /** Agent to balancer: replies to an owner query with a stored owner hint. */
  OwnerHintReply = 8,
  /**
   * Agent to balancer: replies to an owner query that it knows no owner. The
   * reason is UnknownFlow if its backend server certainly does not own the
   * flow, None if it may own it.
   */
  UnknownFlowReply = 9,
};

/** Why an agent rejected a packet. */
enum class RejectReason : std::uint8_t
{
  None = 0,
  /**
   * No slot will be free in time; the backend server did not see the packet.
   */
  Full = 1,
  /** The backend server refused the SYN. */
  Refused = 2,
  /** The backend server does not own the flow. */
  UnknownFlow = 3,
  /** The agent's backend server belongs to another service. */
  WrongService = 4,
  /** The backend server did not answer a SYN in time. */
  Unresponsive = 5,
  /** The agent is draining. */
  Draining = 6,
  /** The operator has evacuated the availability zone of the agent. */
  Evacuated = 7,
  /** The backend server is cold and has got its requests of this second. */
  SlowStartLimit = 8,
  /** The backend server ends requests without an answer. */
  Ejected = 9,
};

/** Text of the reason for logs. */
const char*
nameOf(RejectReason aReason);

/** An agent's load, reported in each of its messages. */
struct ReportedLoad
{
  /**
   * After this time an agent has seen a packet of each open flow, unless the
   * idle timeout is longer.
   */
  static constexpr std::chrono::seconds kFullHistoryTime{ 30 };
  static constexpr std::uint16_t kNoSlowStartLimit = 65'535;

  /**
   * Requests that the backend server has or is expected to get shortly, and
   * queued requests that can still be answered on time.
   */
  std::uint16_t inProgress = 0;
  /** Queued requests that are past their latency objective. */
  std::uint16_t lateRequests = 0;
  /** Open flows that carry many requests. */
  std::uint16_t longLivedFlows = 0;
  /** Mean time to answer a request. */
  std::chrono::milliseconds serviceTime{ 0 };
  /** True while the backend server should get no new flows. */
  bool isUnavailable = false;
  /**
   * True while the backend server gets only probes, because it ends requests
   * without an answer. With isUnavailable it fails all of them.
   */
  bool isEjected = false;
  /** The agent has run for kFullHistoryTime. */
  bool hasFullHistory = false;
  /**
   * For how long the agent has seen all packets of its backend server. It may
   * not know older flows. 0 if it was not told, as by earlier versions.
   */
  std::chrono::milliseconds history{ 0 };
  /**
   * Requests that the cold backend server may still take now;
   * kNoSlowStartLimit if it takes any number.
   */
  std::uint16_t slowStartBudget = kNoSlowStartLimit;
};

/** How many requests a cold backend server may get. */
struct SlowStart
{
  /** Requests in any one second, from all balancers together. */
  std::uint16_t limit = 0;
  /** Time until the backend server is warm. */
  std::chrono::milliseconds remaining{ 0 };
};

/**
 * The header of all datagrams between balancers and agents. Numbers are in
 * network byte order. Times are in milliseconds and are capped at 65,535 ms.
 */
struct AgentMessage
{
  /** Size of a header without the slow-start extension. */
  static constexpr std::size_t kBytes = 32;
  static constexpr std::size_t kSlowStartBytes = 4;

  MessageKind kind = MessageKind::Probe;
  RejectReason reason = RejectReason::None;
  /**
   * Forward: the balancer is not sure which agent owns the flow and requests an
   * owner notice.
   */
  bool wantsOwnerNotice = false;
  /** OwnerQuery: the agent replies also if it knows no owner. */
  bool wantsUnknownFlowReply = false;
  /** Forward: the flow carries many requests. */
  bool isLongLived = false;
  /** Forward: the caller may repeat the request after any failure. */
  bool isIdempotent = false;
  /**
   * Forward: too many targets of the service are ejected, so this one gets
   * flows unless it is down.
   */
  bool ignoresEjection = false;
  /**
   * Set by balancers: the operator has evacuated the availability zone of the
   * recipient, as of mapRevision.
   */
  bool isZoneEvacuated = false;
  /** Forward: urgency of the request; 0 is the most urgent. */
  std::uint8_t priority = 0;
  /**
   * The newest fleet map revision that the sender knows. It shows a balancer
   * that others have a newer map.
   */
  MapRevision mapRevision;
  /**
   * Balancer: when it sends the message. Agent: the send time of the last
   * message that it received from the balancer.
   */
  SendTime sendTime{ 0 };
  /** Forward: identifies the service; see FleetMap::serviceTag(). */
  std::uint32_t serviceTag = 0;
  /** Forward: slots of the backend server in the balancer's fleet map. */
  std::uint16_t slots = 0;
  /** Forward: time since the caller sent its first SYN. */
  std::chrono::milliseconds age{ 0 };
  /** Forward: an answer after this time is of less value to the caller. */
  std::chrono::milliseconds latencyObjective{ 0 };
  /** Forward: time after which the caller gives up. */
  std::chrono::milliseconds timeout{ 0 };
  /**
   * Forward: the limit of a cold backend server; std::nullopt if it has none.
   */
  std::optional<SlowStart> slowStart;
  /** Set in all messages of an agent. */
  ReportedLoad load;

  /** Size of the header in bytes, with the slow-start extension if present. */
  std::size_t size() const
  {
    return slowStart ? kBytes + kSlowStartBytes : kBytes;
  }
  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  /** Parses the header; the body starts at size(). */
  static absl::StatusOr<AgentMessage> parse(
    absl::Span<const std::uint8_t> aData);
};

/** Body of an owner notice, an owner query and an unknown flow reply. */
struct OwnerNotice
{
  Packet::FlowKey flow;
  /**
   * Owner notice: initial sequence number of the backend server. Owner query: a
   * sequence number of the caller. 0 if unknown.
   */
  std::uint32_t sequence = 0;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  static absl::StatusOr<OwnerNotice> parse(
    absl::Span<const std::uint8_t> aBody);
};

/** Names the last known owner of a flow, which may be outdated. */
struct OwnerHint
{
  Packet::FlowKey flow;
  Core::Endpoint agent;

  void appendTo(std::vector<std::uint8_t>& aBuffer) const;
  static absl::StatusOr<OwnerHint> parse(absl::Span<const std::uint8_t> aBody);
};

} // namespace Steering
