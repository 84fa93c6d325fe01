#include "platform/datagramformat.h"

#include <doctest/doctest.h>

#include <vector>

namespace {

using Bytes = std::vector<std::uint8_t>;

/** The SYN in the platform's documentation. */
Bytes
synExample()
{
  return { 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00,
           0x00, 0x00, 0x00, 0x08, 0x01, 0x00, 0x12, 0xc6, 0x07, 0x00, 0x40,
           0x64, 0xbb, 0x01, 0x41, 0x9c, 0xd5, 0xc3, 0xb2, 0xa1 };
}

/** The reset for synExample() in the platform's documentation. */
Bytes
resetExample()
{
  return { 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
           0x00, 0x00, 0x00, 0x02, 0x07, 0x00, 0x40, 0x64, 0x01, 0x00, 0x12,
           0xc6, 0x41, 0x9c, 0xbb, 0x01, 0x00, 0x00, 0x00, 0x00 };
}

constexpr std::size_t kFlagsOffset = 14;

} // namespace

TEST_CASE("a SYN in the platform's format is parsed")
{
  const auto bytes = synExample();
  const auto packet = Platform::Datagram::parse(bytes);
  REQUIRE(packet.ok());
  CHECK(packet->isSyn());
  CHECK_FALSE(packet->isSynAck());
  CHECK_FALSE(packet->hasPayload());
  CHECK_FALSE(packet->isReturned());
  CHECK(packet->sequence() == 0x11223344);
  const auto flow = packet->flowFromCaller();
  CHECK(Core::formatEndpoint(flow.caller) == "100.64.0.7:40001");
  CHECK(Core::formatEndpoint(flow.service) == "198.18.0.1:443");
}

TEST_CASE("the reset for a SYN has the platform's format")
{
  const auto bytes = synExample();
  const auto packet = Platform::Datagram::parse(bytes);
  REQUIRE(packet.ok());
  CHECK(Platform::DatagramFormat::buildReset(*packet) == resetExample());
}

TEST_CASE("the reset for an open flow has the acknowledged sequence number")
{
  auto bytes = synExample();
  bytes[kFlagsOffset] = 0x80;
  bytes[10] = 0x78;
  bytes[11] = 0x56;
  const auto packet = Platform::Datagram::parse(bytes);
  REQUIRE(packet.ok());
  const auto reset = Platform::DatagramFormat::buildReset(*packet);
  const auto parsed = Platform::Datagram::parse(reset);
  REQUIRE(parsed.ok());
  CHECK(parsed->isReset());
  CHECK(parsed->sequence() == 0x5678);
}

TEST_CASE("malformed packets are not parsed")
{
  const auto good = synExample();
  SUBCASE("too short")
  {
    const Bytes bytes(good.begin(), good.end() - 1);
    CHECK_FALSE(Platform::Datagram::parse(bytes).ok());
    CHECK_FALSE(Platform::Datagram::parse(Bytes{}).ok());
  }
  SUBCASE("too long")
  {
    Bytes bytes = good;
    bytes.resize(Platform::Datagram::kHeaderBytes + 1'201);
    bytes[0] = 0xB1;
    bytes[1] = 0x04;
    CHECK_FALSE(Platform::Datagram::parse(bytes).ok());
  }
  SUBCASE("wrong length field")
  {
    Bytes bytes = good;
    bytes[0] = 1;
    CHECK_FALSE(Platform::Datagram::parse(bytes).ok());
    bytes.push_back(0);
    CHECK(Platform::Datagram::parse(bytes).ok());
    bytes.push_back(0);
    CHECK_FALSE(Platform::Datagram::parse(bytes).ok());
  }
  SUBCASE("unknown flags")
  {
    Bytes bytes = good;
    bytes[kFlagsOffset] |= 0x01;
    CHECK_FALSE(Platform::Datagram::parse(bytes).ok());
  }
}

TEST_CASE("a returned packet has the return token and can be restored")
{
  auto bytes = synExample();
  Platform::DatagramFormat::setReturnToken(absl::MakeSpan(bytes), 77);
  bytes[kFlagsOffset] |= 0x04;
  const auto returned = Platform::Datagram::parse(bytes);
  REQUIRE(returned.ok());
  CHECK(returned->isReturned());
  CHECK(returned->returnToken() == 77);
  Platform::DatagramFormat::restoreOriginal(absl::MakeSpan(bytes));
  CHECK(bytes == synExample());
}
