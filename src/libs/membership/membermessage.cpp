#include "membership/membermessage.h"

#include "packet/byteorder.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace Membership {

namespace {

constexpr std::uint8_t kMagic = 0x4D;
constexpr std::uint8_t kSubscribingFlag = 0x01;
constexpr std::uint8_t kLeavingFlag = 0x02;
constexpr std::size_t kEraOffset = 4;
constexpr std::size_t kChangeOffset = 8;
constexpr std::size_t kZoneOffset = 16;
constexpr std::size_t kAgeOffset = 20;
constexpr std::size_t kHeaderBytes = 22;
constexpr std::size_t kEntryBytes = 10;

std::uint16_t
toWireMilliseconds(std::chrono::milliseconds aTime)
{
  return static_cast<std::uint16_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, MemberMessage::kMaxAge.count()));
}

} // namespace

void
MemberMessage::appendTo(std::vector<std::uint8_t>& aBuffer) const
{
  const auto entryCount = std::min(members.size(), kMaxEntries);
  const auto start = aBuffer.size();
  aBuffer.resize(start + kHeaderBytes + entryCount * kEntryBytes);
  auto* header = aBuffer.data() + start;
  header[0] = kMagic;
  header[1] = static_cast<std::uint8_t>((isSubscribing ? kSubscribingFlag : 0) |
                                        (isLeaving ? kLeavingFlag : 0));
  Packet::store16(header + 2, static_cast<std::uint16_t>(entryCount));
  Packet::store32(header + kEraOffset, revision.era);
  Packet::store64(header + kChangeOffset, revision.change);
  Packet::store32(header + kZoneOffset, zoneTag);
  Packet::store16(header + kAgeOffset, toWireMilliseconds(confirmedAge));
  auto* entry = header + kHeaderBytes;
  for (std::size_t i = 0; i < entryCount; ++i, entry += kEntryBytes) {
    Packet::store32(entry, members[i].address);
    Packet::store32(entry + 4, members[i].zoneTag);
    Packet::store16(entry + 8, toWireMilliseconds(members[i].age));
  }
}

absl::StatusOr<MemberMessage>
MemberMessage::parse(absl::Span<const std::uint8_t> aData)
{
  if (aData.size() < kHeaderBytes || aData[0] != kMagic) {
    return absl::InvalidArgumentError(absl::StrCat(
      "invalid header in a member message of ", aData.size(), " bytes"));
  }
  const std::size_t entryCount = Packet::load16(&aData[2]);
  if (entryCount > kMaxEntries ||
      aData.size() != kHeaderBytes + entryCount * kEntryBytes) {
    return absl::InvalidArgumentError(absl::StrCat(
      entryCount, " entries in a member message of ", aData.size(), " bytes"));
  }
  MemberMessage message;
  message.isSubscribing = (aData[1] & kSubscribingFlag) != 0;
  message.isLeaving = (aData[1] & kLeavingFlag) != 0;
  message.revision = { Packet::load32(&aData[kEraOffset]),
                       Packet::load64(&aData[kChangeOffset]) };
  message.zoneTag = Packet::load32(&aData[kZoneOffset]);
  message.confirmedAge =
    std::chrono::milliseconds(Packet::load16(&aData[kAgeOffset]));
  for (std::size_t i = 0; i < entryCount; ++i) {
    const auto* entry = &aData[kHeaderBytes + i * kEntryBytes];
    message.members.push_back(
      { Packet::load32(entry),
        Packet::load32(entry + 4),
        std::chrono::milliseconds(Packet::load16(entry + 8)) });
  }
  return message;
}

} // namespace Membership
