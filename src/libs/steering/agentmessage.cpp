#include "steering/agentmessage.h"

#include "packet/byteorder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Steering {

namespace {

constexpr std::uint8_t kMagic = 0x4C;
// Flags of all messages.
constexpr std::uint8_t kWantsOwnerNoticeFlag = 0x02;
constexpr std::uint8_t kLongLivedFlag = 0x04;
constexpr std::uint8_t kWantsUnknownFlowReplyFlag = 0x20;
constexpr std::uint8_t kZoneEvacuatedFlag = 0x40;
constexpr std::uint8_t kSlowStartFlag = 0x80;
// Flags of balancers only.
constexpr std::uint8_t kIdempotentFlag = 0x01;
constexpr std::uint8_t kIgnoresEjectionFlag = 0x10;
// Flags of agents only.
constexpr std::uint8_t kEjectedFlag = 0x01;
constexpr std::uint8_t kUnavailableFlag = 0x08;
constexpr std::uint8_t kFullHistoryFlag = 0x10;
/** After magic, kind, flags, and reason or priority. */
constexpr std::size_t kEraOffset = 4;
constexpr std::size_t kChangeOffset = 8;
constexpr std::size_t kSendTimeOffset = 16;
constexpr std::size_t kFieldsOffset = 20;
constexpr std::size_t kFlowKeyBytes = 12;
constexpr std::size_t kOwnerNoticeBytes = kFlowKeyBytes + 4;
constexpr std::size_t kOwnerHintBytes = kFlowKeyBytes + 6;

bool
isFromBalancer(MessageKind aKind)
{
  return aKind == MessageKind::Forward || aKind == MessageKind::Probe ||
         aKind == MessageKind::OwnerQuery ||
         aKind == MessageKind::StoreOwnerHint;
}

std::uint8_t
encodeFlags(const AgentMessage& aMessage)
{
  std::uint8_t flags = 0;
  flags |= aMessage.wantsOwnerNotice ? kWantsOwnerNoticeFlag : 0;
  flags |= aMessage.isLongLived ? kLongLivedFlag : 0;
  flags |= aMessage.wantsUnknownFlowReply ? kWantsUnknownFlowReplyFlag : 0;
  flags |= aMessage.isZoneEvacuated ? kZoneEvacuatedFlag : 0;
  flags |= aMessage.slowStart ? kSlowStartFlag : 0;
  if (isFromBalancer(aMessage.kind)) {
    flags |= aMessage.isIdempotent ? kIdempotentFlag : 0;
    flags |= aMessage.ignoresEjection ? kIgnoresEjectionFlag : 0;
  } else {
    flags |= aMessage.load.isEjected ? kEjectedFlag : 0;
    flags |= aMessage.load.isUnavailable ? kUnavailableFlag : 0;
    flags |= aMessage.load.hasFullHistory ? kFullHistoryFlag : 0;
  }
  return flags;
}

/**
 * Converts to the wire unit. Times are capped at 65,535 ms: all waiting times
 * above a minute have the same effect.
 */
std::uint16_t
toWireMilliseconds(std::chrono::milliseconds aTime)
{
  constexpr std::int64_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMax));
}

void
writeRequestFields(const AgentMessage& aMessage, std::uint8_t* aData)
{
  Packet::store32(aData, aMessage.serviceTag);
  Packet::store16(aData + 4, aMessage.slots);
  Packet::store16(aData + 6, toWireMilliseconds(aMessage.age));
  Packet::store16(aData + 8, toWireMilliseconds(aMessage.latencyObjective));
  Packet::store16(aData + 10, toWireMilliseconds(aMessage.timeout));
}

void
readRequestFields(const std::uint8_t* aData, AgentMessage& aMessage)
{
  aMessage.serviceTag = Packet::load32(aData);
  aMessage.slots = Packet::load16(aData + 4);
  aMessage.age = std::chrono::milliseconds(Packet::load16(aData + 6));
  aMessage.latencyObjective =
    std::chrono::milliseconds(Packet::load16(aData + 8));
  aMessage.timeout = std::chrono::milliseconds(Packet::load16(aData + 10));
}

void
writeLoad(const ReportedLoad& aLoad, std::uint8_t* aData)
{
  Packet::store16(aData, aLoad.inProgress);
  Packet::store16(aData + 2, aLoad.lateRequests);
  Packet::store16(aData + 4, aLoad.longLivedFlows);
  Packet::store16(aData + 6, toWireMilliseconds(aLoad.serviceTime));
  Packet::store16(aData + 8, aLoad.slowStartBudget);
  Packet::store16(aData + 10, toWireMilliseconds(aLoad.history));
}

void
readLoad(const std::uint8_t* aData, ReportedLoad& aLoad)
{
  aLoad.inProgress = Packet::load16(aData);
  aLoad.lateRequests = Packet::load16(aData + 2);
  aLoad.longLivedFlows = Packet::load16(aData + 4);
  aLoad.serviceTime = std::chrono::milliseconds(Packet::load16(aData + 6));
  aLoad.slowStartBudget = Packet::load16(aData + 8);
  aLoad.history = std::chrono::milliseconds(Packet::load16(aData + 10));
}

void
writeFlowKey(const Packet::FlowKey& aFlow, std::uint8_t* aData)
{
  Packet::store32(aData, aFlow.caller.address);
  Packet::store16(aData + 4, aFlow.caller.port);
  Packet::store32(aData + 6, aFlow.service.address);
  Packet::store16(aData + 10, aFlow.service.port);
}

Packet::FlowKey
readFlowKey(const std::uint8_t* aData)
{
  Packet::FlowKey flow;
  flow.caller = { Packet::load32(aData), Packet::load16(aData + 4) };
  flow.service = { Packet::load32(aData + 6), Packet::load16(aData + 10) };
  return flow;
}

/** aByte is the reject reason of an agent, or the priority of a balancer. */
bool
hasKnownCodes(std::uint8_t aKind, std::uint8_t aByte)
{
  return aKind >= static_cast<std::uint8_t>(MessageKind::Forward) &&
         aKind <= static_cast<std::uint8_t>(MessageKind::UnknownFlowReply) &&
         (isFromBalancer(static_cast<MessageKind>(aKind)) ||
          aByte <= static_cast<std::uint8_t>(RejectReason::Ejected));
}

} // namespace

const char*
nameOf(RejectReason aReason)
{
  switch (aReason) {
    case RejectReason::None:
      return "none";
    case RejectReason::Full:
      return "no slot is free in time";
    case RejectReason::Refused:
      return "the backend server refused the SYN";
    case RejectReason::UnknownFlow:
      return "the backend server does not own the flow";
    case RejectReason::WrongService:
      return "the agent serves another service";
    case RejectReason::Unresponsive:
      return "the backend server does not respond";
    case RejectReason::Draining:
      return "the agent is draining";
    case RejectReason::Evacuated:
      return "the availability zone is evacuated";
    case RejectReason::SlowStartLimit:
      return "the cold backend server has no request left in this second";
    case RejectReason::Ejected:
      return "the backend server ends requests without an answer";
  }
  return "unknown";
}

void
AgentMessage::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kBytes> header{};
  header[0] = kMagic;
  header[1] = static_cast<std::uint8_t>(kind);
  header[2] = encodeFlags(*this);
  header[3] =
    isFromBalancer(kind) ? priority : static_cast<std::uint8_t>(reason);
  Packet::store32(&header[kEraOffset], mapRevision.era);
  Packet::store64(&header[kChangeOffset], mapRevision.change);
  Packet::store32(&header[kSendTimeOffset], sendTime.count());
  if (isFromBalancer(kind)) {
    writeRequestFields(*this, &header[kFieldsOffset]);
  } else {
    writeLoad(load, &header[kFieldsOffset]);
  }
  aBuffer.insert(aBuffer.end(), header.begin(), header.end());
  if (slowStart) {
    std::array<std::uint8_t, kSlowStartBytes> extension{};
    Packet::store16(extension.data(), slowStart->limit);
    Packet::store16(&extension[2], toWireMilliseconds(slowStart->remaining));
    aBuffer.insert(aBuffer.end(), extension.begin(), extension.end());
  }
}

absl::StatusOr<AgentMessage>
AgentMessage::parse(absl::Span<const std::uint8_t> aData)
{
  if (aData.size() < kBytes || aData[0] != kMagic) {
    return absl::InvalidArgumentError(absl::StrCat(
      "invalid header in an agent message of ", aData.size(), " bytes"));
  }
  if (!hasKnownCodes(aData[1], aData[3])) {
    return absl::InvalidArgumentError(absl::StrCat(
      "unknown message kind ", aData[1], " or reject reason ", aData[3]));
  }
  const auto flags = aData[2];
  AgentMessage message;
  message.kind = static_cast<MessageKind>(aData[1]);
  message.wantsOwnerNotice = (flags & kWantsOwnerNoticeFlag) != 0;
  message.wantsUnknownFlowReply = (flags & kWantsUnknownFlowReplyFlag) != 0;
  message.isLongLived = (flags & kLongLivedFlag) != 0;
  message.isZoneEvacuated = (flags & kZoneEvacuatedFlag) != 0;
  message.mapRevision = { Packet::load32(&aData[kEraOffset]),
                          Packet::load64(&aData[kChangeOffset]) };
  message.sendTime = SendTime(Packet::load32(&aData[kSendTimeOffset]));
  if (isFromBalancer(message.kind)) {
    message.priority = aData[3];
    message.isIdempotent = (flags & kIdempotentFlag) != 0;
    message.ignoresEjection = (flags & kIgnoresEjectionFlag) != 0;
    readRequestFields(&aData[kFieldsOffset], message);
  } else {
    message.reason = static_cast<RejectReason>(aData[3]);
    readLoad(&aData[kFieldsOffset], message.load);
    message.load.isEjected = (flags & kEjectedFlag) != 0;
    message.load.isUnavailable = (flags & kUnavailableFlag) != 0;
    message.load.hasFullHistory = (flags & kFullHistoryFlag) != 0;
  }
  if ((flags & kSlowStartFlag) != 0) {
    if (aData.size() < kBytes + kSlowStartBytes) {
      return absl::InvalidArgumentError("truncated slow-start extension");
    }
    message.slowStart = { Packet::load16(&aData[kBytes]),
                          std::chrono::milliseconds(
                            Packet::load16(&aData[kBytes + 2])) };
  }
  return message;
}

void
OwnerNotice::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kOwnerNoticeBytes> body{};
  writeFlowKey(flow, body.data());
  Packet::store32(&body[kFlowKeyBytes], sequence);
  aBuffer.insert(aBuffer.end(), body.begin(), body.end());
}

absl::StatusOr<OwnerNotice>
OwnerNotice::parse(absl::Span<const std::uint8_t> aBody)
{
  if (aBody.size() != kOwnerNoticeBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("invalid owner notice size: ", aBody.size(), " bytes"));
  }
  OwnerNotice notice;
  notice.flow = readFlowKey(aBody.data());
  notice.sequence = Packet::load32(&aBody[kFlowKeyBytes]);
  return notice;
}

void
OwnerHint::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kOwnerHintBytes> body{};
  writeFlowKey(flow, body.data());
  Packet::store32(&body[kFlowKeyBytes], agent.address);
  Packet::store16(&body[kFlowKeyBytes + 4], agent.port);
  aBuffer.insert(aBuffer.end(), body.begin(), body.end());
}

absl::StatusOr<OwnerHint>
OwnerHint::parse(absl::Span<const std::uint8_t> aBody)
{
  if (aBody.size() != kOwnerHintBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("invalid owner hint size: ", aBody.size(), " bytes"));
  }
  OwnerHint hint;
  hint.flow = readFlowKey(aBody.data());
  hint.agent = { Packet::load32(&aBody[kFlowKeyBytes]),
                 Packet::load16(&aBody[kFlowKeyBytes + 4]) };
  return hint;
}

} // namespace Steering
