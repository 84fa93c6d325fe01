#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "packet/byteorder.h"
#include "packet/checksum.h"
#include "packet/forwardheader.h"
#include "packet/guepacket.h"
#include "packet/packetbuilder.h"
#include "packet/packetview.h"

#include <random>

using namespace Packet;

namespace {

const Core::Endpoint kCaller{ 0x0a010203, 4000 };
const Core::Endpoint kService{ 0xc633640a, 7001 };

Bytes
syn()
{
  return PacketBuilder(Protocol::Tcp)
    .from(kCaller)
    .to(kService)
    .flags(kTcpSyn)
    .sequence(77)
    .build();
}

Bytes
datagram(absl::string_view aPayload)
{
  return PacketBuilder(Protocol::Udp)
    .from(kCaller)
    .to(kService)
    .payload(aPayload)
    .build();
}

std::string
parseError(const Bytes& aPacket)
{
  const auto view = PacketView::parse(aPacket, Verify::HeadersAndPayload);
  return view.ok() ? "" : std::string(view.status().message());
}

} // namespace

TEST_CASE("a built packet is parsed correctly")
{
  const auto bytes = syn();
  const auto view = PacketView::parse(bytes, Verify::HeadersAndPayload);
  REQUIRE(view.ok());
  CHECK(view->source() == kCaller);
  CHECK(view->destination() == kService);
  CHECK(view->isSyn());
  CHECK(view->sequence() == 77);
  CHECK(view->flowFromCaller().service == kService);
}

TEST_CASE("malformed packets are rejected with an error message")
{
  auto packet = syn();
  SUBCASE("truncated IPv4 header")
  {
    packet.resize(19);
  }
  SUBCASE("IP version")
  {
    packet[0] = 0x65;
  }
  SUBCASE("header length beyond the end")
  {
    packet[0] = 0x4f;
  }
  SUBCASE("header length too small")
  {
    packet[0] = 0x44;
  }
  SUBCASE("total length beyond the end")
  {
    store16(&packet[2], 41);
  }
  SUBCASE("total length inside the header")
  {
    store16(&packet[2], 19);
  }
  SUBCASE("header checksum")
  {
    packet[8] ^= 1;
  }
  SUBCASE("TCP checksum")
  {
    packet[24] ^= 1;
  }
  SUBCASE("fragment")
  {
    store16(&packet[6], 0x2000);
    store16(&packet[10], 0);
    store16(&packet[10],
            internetChecksum(absl::MakeConstSpan(packet).first(20)));
  }
  SUBCASE("TCP header length beyond the end")
  {
    packet[32] = 0xf0;
  }
  SUBCASE("truncated TCP header")
  {
    packet.resize(36);
    store16(&packet[2], 36);
    store16(&packet[10], 0);
    store16(&packet[10],
            internetChecksum(absl::MakeConstSpan(packet).first(20)));
  }
  CHECK(parseError(packet) != "");
}

TEST_CASE("a UDP length that differs from the IPv4 length is rejected")
{
  auto packet = datagram("hello");
  store16(&packet[24], 9);
  CHECK(parseError(packet) == "UDP length differs from the IPv4 length");
}

TEST_CASE("truncated and corrupted packets are parsed safely")
{
  std::mt19937 random(7);
  const auto whole = datagram("a payload of some length");
  for (std::size_t n = 0; n < whole.size(); ++n) {
    CHECK(parseError(Bytes(whole.begin(), whole.begin() + n)) != "");
  }
  for (int i = 0; i < 20'000; ++i) {
    auto packet = whole;
    packet[random() % packet.size()] ^= 1U << (random() % 8);
    const auto view = PacketView::parse(packet, Verify::HeadersAndPayload);
    if (view.ok()) {
      CHECK(view->payload().size() <= packet.size());
    }
  }
}

TEST_CASE("a SYN is refused with a reset that acknowledges it")
{
  const auto packet = syn();
  const auto view = PacketView::parse(packet, Verify::Headers);
  REQUIRE(view.ok());
  const auto reply = buildRefusal(*view);
  const auto reset = PacketView::parse(reply, Verify::HeadersAndPayload);
  REQUIRE(reset.ok());
  CHECK(reset->hasFlag(kTcpRst));
  CHECK(reset->acknowledgment() == 78);
  CHECK(reset->flowFromBackend() == view->flowFromCaller());
}

TEST_CASE("UDP refusal and unknown outcome have different ICMP codes")
{
  const auto packet = datagram("x");
  const auto view = PacketView::parse(packet, Verify::Headers);
  REQUIRE(view.ok());
  const auto refusal = buildRefusal(*view);
  const auto unknown = buildOutcomeUnknown(*view);
  CHECK(refusal[20] == 3);
  CHECK(refusal[21] == 3);
  CHECK(unknown[21] == 1);
  CHECK(internetChecksum(absl::MakeConstSpan(refusal).subspan(20)) == 0);
}

TEST_CASE("GUE packets are parsed correctly and malformed ones are rejected")
{
  const auto inner = syn();
  const Bytes privateData(8, 0x5a);
  GuePacket gue;
  gue.privateData = privateData;
  gue.body = inner;
  Bytes outer;
  gue.appendTo(outer);
  const auto parsed = GuePacket::parse(outer);
  REQUIRE(parsed.ok());
  CHECK(parsed->content == GueContent::Ipv4Packet);
  CHECK(parsed->privateData.size() == 8);
  CHECK(parsed->body == absl::MakeConstSpan(inner));

  CHECK_FALSE(GuePacket::parse({}).ok());
  CHECK_FALSE(GuePacket::parse(Bytes{ 0x40, 4, 0, 0 }).ok());
  CHECK_FALSE(GuePacket::parse(Bytes{ 0, 4, 0, 1 }).ok());
  CHECK_FALSE(GuePacket::parse(Bytes{ 0x1f, 4, 0, 0 }).ok());
  CHECK_FALSE(GuePacket::parse(Bytes{ 0, 6, 0, 0 }).ok());
}

TEST_CASE("all fields of a forward header are encoded and parsed")
{
  ForwardHeader header;
  header.purpose = ForwardPurpose::Search;
  header.hops = 3;
  header.homesSkipped = 1;
  header.wantsOwnerNotice = true;
  header.revision = 99;
  header.service = 0x1122334455667788;
  header.home = 42;
  header.claimer = 43;
  header.origin = { 0x7f000001, 7000 };
  for (std::uint16_t i = 0; i < ForwardHeader::kMaxRouteLength; ++i) {
    header.route.push_back({ 0x7f000002U + i, 7000 });
  }
  const auto data = header.encode();
  CHECK(data.size() <= GuePacket::kMaxPrivateDataBytes);
  CHECK(data.size() % 4 == 0);
  const auto parsed = ForwardHeader::parse(data);
  REQUIRE(parsed.ok());
  CHECK(parsed->purpose == header.purpose);
  CHECK(parsed->hops == 3);
  CHECK(parsed->homesSkipped == 1);
  CHECK(parsed->wantsOwnerNotice);
  CHECK(parsed->revision == 99);
  CHECK(parsed->service == header.service);
  CHECK(parsed->home == 42);
  CHECK(parsed->claimer == 43);
  CHECK(parsed->origin == header.origin);
  CHECK(parsed->route == header.route);
}

TEST_CASE("malformed forward headers are rejected")
{
  auto data = ForwardHeader().encode();
  SUBCASE("truncated")
  {
    data.pop_back();
  }
  SUBCASE("format")
  {
    data[0] = 9;
  }
  SUBCASE("purpose")
  {
    data[1] = 77;
  }
  SUBCASE("route longer than the header")
  {
    data[34] = 3;
  }
  SUBCASE("route longer than the maximum")
  {
    data[34] = 200;
  }
  CHECK_FALSE(ForwardHeader::parse(data).ok());
}
