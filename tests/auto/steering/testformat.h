#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Test {

using Bytes = std::vector<std::uint8_t>;

/** Content of a test packet. */
struct PacketFields
{
  Packet::FlowKey flow;
  bool isFromTarget = false;
  bool isSyn = false;
  bool isSynAck = false;
  bool isFin = false;
  bool isReset = false;
  bool isReturned = false;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgment = 0;
  std::uint32_t token = 0;
  std::uint8_t dataBytes = 0;
};

Bytes
encode(const PacketFields& aFields);

/** A parsed packet of the tests' encoding. */
class TestPacket
{
public:
  TestPacket(absl::Span<const std::uint8_t> aData, const PacketFields& aFields)
    : mBytes(aData)
    , mFields(aFields)
  {
  }

  absl::Span<const std::uint8_t> bytes() const { return mBytes; }
  Packet::FlowKey flowFromCaller() const { return mFields.flow; }
  Packet::FlowKey flowFromBackend() const { return mFields.flow; }
  bool isSyn() const { return mFields.isSyn; }
  std::uint32_t retransmissionCount() const { return mFields.acknowledgment; }
  bool isSynAck() const { return mFields.isSynAck; }
  bool isFin() const { return mFields.isFin; }
  bool isReset() const { return mFields.isReset; }
  bool hasPayload() const { return mFields.dataBytes > 0; }
  bool isReturned() const { return mFields.isReturned; }
  std::uint32_t returnToken() const { return mFields.token; }
  std::uint32_t sequence() const { return mFields.sequence; }
  std::uint32_t acknowledgment() const { return mFields.acknowledgment; }
  const PacketFields& fields() const { return mFields; }

private:
  absl::Span<const std::uint8_t> mBytes;
  PacketFields mFields;
};

/** A minimal packet encoding that meets PacketFormat. */
struct TestFormat
{
  using Packet = TestPacket;

  static absl::StatusOr<TestPacket> parse(absl::Span<const std::uint8_t> aData);
  static void setReturnToken(absl::Span<std::uint8_t> aPacket,
                             std::uint32_t aToken);
  static void restoreOriginal(absl::Span<std::uint8_t> aPacket);
  static Bytes buildReset(const TestPacket& aPacket);
};

/** The flow of a caller with this port to kRouteAddress. */
::Packet::FlowKey
flowOf(std::uint16_t aCallerPort);

/** Address of the single route in the tests. */
constexpr Core::Endpoint kRouteAddress{ 0xC6120001, 443 };

} // namespace Test
