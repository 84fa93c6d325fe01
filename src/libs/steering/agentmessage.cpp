#include "steering/agentmessage.h"

#include "packet/byteorder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <limits>

namespace Steering {

namespace {

constexpr std::uint8_t kMagic = 0x4C;
constexpr std::uint8_t kWantsNotice = 0x02;
constexpr std::uint8_t kLongFlow = 0x04;
constexpr std::uint8_t kUnavailable = 0x08;
constexpr std::uint8_t kKnowsAllFlows = 0x10;
/** Behind magic, kind, flags and reason. */
constexpr std::size_t kRevisionAt = 4;
constexpr std::size_t kFieldsAt = 8;
constexpr std::size_t kFlowBytes = 12;
constexpr std::size_t kNoticeBytes = kFlowBytes + 4;
constexpr std::size_t kHintBytes = kFlowBytes + 6;

std::uint8_t
flagsOf(const AgentMessage& aMessage)
{
  std::uint8_t flags = 0;
  flags |= aMessage.wantsNotice ? kWantsNotice : 0;
  flags |= aMessage.isLongFlow ? kLongFlow : 0;
  flags |= aMessage.load.isUnavailable ? kUnavailable : 0;
  flags |= aMessage.load.knowsAllFlows ? kKnowsAllFlows : 0;
  return flags;
}

/** Longer times are cut: a minute is as good as for ever. */
std::uint16_t
narrow(std::chrono::milliseconds aTime)
{
  constexpr std::int64_t kMost = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMost));
}

bool
isKnown(std::uint8_t aKind, std::uint8_t aReason)
{
  return aKind >= static_cast<std::uint8_t>(MessageKind::Forward) &&
         aKind <= static_cast<std::uint8_t>(MessageKind::OwnerElsewhere) &&
         aReason <= static_cast<std::uint8_t>(HandBackReason::Leaving);
}

void
storeRequest(const AgentMessage& aMessage, std::uint8_t* aData)
{
  Packet::store32(aData, aMessage.serviceTag);
  Packet::store16(aData + 4, aMessage.slots);
  Packet::store16(aData + 6, narrow(aMessage.age));
  Packet::store16(aData + 8, narrow(aMessage.latencyObjective));
  Packet::store16(aData + 10, narrow(aMessage.timeout));
}

void
loadRequest(const std::uint8_t* aData, AgentMessage& aMessage)
{
  aMessage.serviceTag = Packet::load32(aData);
  aMessage.slots = Packet::load16(aData + 4);
  aMessage.age = std::chrono::milliseconds(Packet::load16(aData + 6));
  aMessage.latencyObjective =
    std::chrono::milliseconds(Packet::load16(aData + 8));
  aMessage.timeout = std::chrono::milliseconds(Packet::load16(aData + 10));
}

void
storeLoad(const ReportedLoad& aLoad, std::uint8_t* aData)
{
  Packet::store16(aData, aLoad.inProgress);
  Packet::store16(aData + 2, aLoad.lateRequests);
  Packet::store16(aData + 4, aLoad.longFlows);
  Packet::store16(aData + 6, narrow(aLoad.serviceTime));
}

void
loadLoad(const std::uint8_t* aData, ReportedLoad& aLoad)
{
  aLoad.inProgress = Packet::load16(aData);
  aLoad.lateRequests = Packet::load16(aData + 2);
  aLoad.longFlows = Packet::load16(aData + 4);
  aLoad.serviceTime = std::chrono::milliseconds(Packet::load16(aData + 6));
}

void
storeFlow(const Packet::FlowKey& aFlow, std::uint8_t* aData)
{
  Packet::store32(aData, aFlow.caller.address);
  Packet::store16(aData + 4, aFlow.caller.port);
  Packet::store32(aData + 6, aFlow.service.address);
  Packet::store16(aData + 10, aFlow.service.port);
}

Packet::FlowKey
loadFlow(const std::uint8_t* aData)
{
  Packet::FlowKey flow;
  flow.caller = { Packet::load32(aData), Packet::load16(aData + 4) };
  flow.service = { Packet::load32(aData + 6), Packet::load16(aData + 10) };
  return flow;
}

bool
isFromBalancer(MessageKind aKind)
{
  return aKind == MessageKind::Forward || aKind == MessageKind::Probe ||
         aKind == MessageKind::Locate || aKind == MessageKind::NoteOwner;
}

} // namespace

const char*
nameOf(HandBackReason aReason)
{
  switch (aReason) {
    case HandBackReason::None:
      return "none";
    case HandBackReason::Full:
      return "no free slot in time";
    case HandBackReason::Refused:
      return "refused by the backend server";
    case HandBackReason::NotHeld:
      return "not held by the backend server";
    case HandBackReason::WrongService:
      return "another service";
    case HandBackReason::Silent:
      return "the backend server is silent";
    case HandBackReason::Leaving:
      return "the agent is stopping";
  }
  return "unknown";
}

void
AgentMessage::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kBytes> head{};
  head[0] = kMagic;
  head[1] = static_cast<std::uint8_t>(kind);
  head[2] = flagsOf(*this);
  head[3] = static_cast<std::uint8_t>(reason);
  Packet::store32(&head[kRevisionAt], mapRevision);
  if (isFromBalancer(kind)) {
    storeRequest(*this, &head[kFieldsAt]);
  } else {
    storeLoad(load, &head[kFieldsAt]);
  }
  aBuffer.insert(aBuffer.end(), head.begin(), head.end());
}

absl::StatusOr<AgentMessage>
AgentMessage::parse(absl::Span<const std::uint8_t> aData)
{
  if (aData.size() < kBytes || aData[0] != kMagic) {
    return absl::InvalidArgumentError(
      absl::StrCat("no message between agents in ", aData.size(), " bytes"));
  }
  if (!isKnown(aData[1], aData[3])) {
    return absl::InvalidArgumentError(
      absl::StrCat("unknown message kind ", aData[1], " or reason ", aData[3]));
  }
  const auto flags = aData[2];
  AgentMessage message;
  message.kind = static_cast<MessageKind>(aData[1]);
  message.reason = static_cast<HandBackReason>(aData[3]);
  message.wantsNotice = (flags & kWantsNotice) != 0;
  message.isLongFlow = (flags & kLongFlow) != 0;
  message.mapRevision = Packet::load32(&aData[kRevisionAt]);
  if (isFromBalancer(message.kind)) {
    loadRequest(&aData[kFieldsAt], message);
  } else {
    loadLoad(&aData[kFieldsAt], message.load);
  }
  message.load.isUnavailable = (flags & kUnavailable) != 0;
  message.load.knowsAllFlows = (flags & kKnowsAllFlows) != 0;
  return message;
}

void
OwnerNotice::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kNoticeBytes> body{};
  storeFlow(flow, body.data());
  Packet::store32(&body[kFlowBytes], sequence);
  aBuffer.insert(aBuffer.end(), body.begin(), body.end());
}

absl::StatusOr<OwnerNotice>
OwnerNotice::parse(absl::Span<const std::uint8_t> aBody)
{
  if (aBody.size() != kNoticeBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("an owner notice of ", aBody.size(), " bytes"));
  }
  OwnerNotice notice;
  notice.flow = loadFlow(aBody.data());
  notice.sequence = Packet::load32(&aBody[kFlowBytes]);
  return notice;
}

void
OwnerHint::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kHintBytes> body{};
  storeFlow(flow, body.data());
  Packet::store32(&body[kFlowBytes], agent.address);
  Packet::store16(&body[kFlowBytes + 4], agent.port);
  aBuffer.insert(aBuffer.end(), body.begin(), body.end());
}

absl::StatusOr<OwnerHint>
OwnerHint::parse(absl::Span<const std::uint8_t> aBody)
{
  if (aBody.size() != kHintBytes) {
    return absl::InvalidArgumentError(
      absl::StrCat("an owner hint of ", aBody.size(), " bytes"));
  }
  OwnerHint hint;
  hint.flow = loadFlow(aBody.data());
  hint.agent = { Packet::load32(&aBody[kFlowBytes]),
                 Packet::load16(&aBody[kFlowBytes + 4]) };
  return hint;
}

} // namespace Steering
