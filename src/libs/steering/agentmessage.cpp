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
constexpr std::size_t kNoticeBytes = 16;

std::uint8_t
flagsOf(const AgentMessage& aMessage)
{
  std::uint8_t flags = 0;
  flags |= aMessage.wantsNotice ? kWantsNotice : 0;
  flags |= aMessage.isLongFlow ? kLongFlow : 0;
  flags |= aMessage.load.isUnavailable ? kUnavailable : 0;
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
         aKind <= static_cast<std::uint8_t>(MessageKind::Probe) &&
         aReason <= static_cast<std::uint8_t>(HandBackReason::Leaving);
}

} // namespace

void
AgentMessage::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kBytes> head{};
  head[0] = kMagic;
  head[1] = static_cast<std::uint8_t>(kind);
  head[2] = flagsOf(*this);
  head[3] = static_cast<std::uint8_t>(reason);
  Packet::store32(&head[4], serviceTag);
  Packet::store16(&head[8], slots);
  Packet::store16(&head[10], load.inProgress);
  Packet::store16(&head[12], load.longFlows);
  Packet::store16(&head[14], narrow(load.serviceTime));
  Packet::store16(&head[16], narrow(allowedWait));
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
  message.serviceTag = Packet::load32(&aData[4]);
  message.slots = Packet::load16(&aData[8]);
  message.load.inProgress = Packet::load16(&aData[10]);
  message.load.longFlows = Packet::load16(&aData[12]);
  message.load.serviceTime =
    std::chrono::milliseconds(Packet::load16(&aData[14]));
  message.allowedWait = std::chrono::milliseconds(Packet::load16(&aData[16]));
  message.load.isUnavailable = (flags & kUnavailable) != 0;
  return message;
}

void
OwnerNotice::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  std::array<std::uint8_t, kNoticeBytes> body{};
  Packet::store32(&body[0], flow.caller.address);
  Packet::store16(&body[4], flow.caller.port);
  Packet::store32(&body[6], flow.service.address);
  Packet::store16(&body[10], flow.service.port);
  Packet::store32(&body[12], sequence);
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
  notice.flow.caller = { Packet::load32(&aBody[0]), Packet::load16(&aBody[4]) };
  notice.flow.service = { Packet::load32(&aBody[6]),
                          Packet::load16(&aBody[10]) };
  notice.sequence = Packet::load32(&aBody[12]);
  return notice;
}

} // namespace Steering
