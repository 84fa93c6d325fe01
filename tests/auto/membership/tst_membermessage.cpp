#include "membership/membermessage.h"

#include <doctest/doctest.h>

#include <random>

namespace {

using namespace std::chrono_literals;
using Membership::MemberMessage;

} // namespace

TEST_CASE("a member message survives a round trip")
{
  MemberMessage message;
  message.zoneTag = 0xA1B2C3D4;
  message.revision = { 3, 0x123456789A };
  message.confirmedAge = 250ms;
  message.isSubscribing = true;
  message.members = { { 7, 8, 90ms }, { 9, 10, 70s } };
  std::vector<std::uint8_t> bytes;
  message.appendTo(bytes);
  const auto parsed = MemberMessage::parse(bytes);
  REQUIRE(parsed.ok());
  CHECK(parsed->zoneTag == message.zoneTag);
  CHECK(parsed->revision == message.revision);
  CHECK(parsed->confirmedAge == 250ms);
  CHECK(parsed->isSubscribing);
  CHECK_FALSE(parsed->isLeaving);
  REQUIRE(parsed->members.size() == 2);
  CHECK(parsed->members[0] == message.members[0]);
  CHECK(parsed->members[1].age == MemberMessage::kMaxAge);
}

TEST_CASE("a member message is limited in size")
{
  MemberMessage message;
  message.members.resize(MemberMessage::kMaxEntries + 50);
  std::vector<std::uint8_t> bytes;
  message.appendTo(bytes);
  CHECK(bytes.size() < 500);
  CHECK(MemberMessage::parse(bytes)->members.size() ==
        MemberMessage::kMaxEntries);
}

TEST_CASE("malformed member messages are rejected")
{
  MemberMessage message;
  message.members.resize(3);
  std::vector<std::uint8_t> bytes;
  message.appendTo(bytes);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(MemberMessage::parse({ bytes.data(), size }).ok());
  }
  bytes[0] ^= 1U;
  CHECK_FALSE(MemberMessage::parse(bytes).ok());
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::vector<std::uint8_t> noise(random() % 80);
    for (auto& byte : noise) {
      byte = static_cast<std::uint8_t>(random());
    }
    static_cast<void>(MemberMessage::parse(noise));
  }
}
