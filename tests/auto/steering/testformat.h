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
  bool isOpening = false;
  bool isAccepting = false;
  bool isClosing = false;
  bool isReset = false;
  bool isHandedBack = false;
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
  Packet::FlowKey flowToService() const { return mFields.flow; }
  Packet::FlowKey flowToCaller() const { return mFields.flow; }
  bool isOpening() const { return mFields.isOpening; }
  std::uint32_t retransmissionCount() const { return mFields.acknowledgment; }
  bool isAccepting() const { return mFields.isAccepting; }
  bool isClosing() const { return mFields.isClosing; }
  bool isReset() const { return mFields.isReset; }
  bool carriesData() const { return mFields.dataBytes > 0; }
  bool isHandedBack() const { return mFields.isHandedBack; }
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
  static void stampReturnToken(absl::Span<std::uint8_t> aPacket,
                               std::uint32_t aToken);
  static void restore(absl::Span<std::uint8_t> aPacket);
  static Bytes buildReset(const TestPacket& aPacket);
};

/** The flow of a caller with this port to kRoute. */
::Packet::FlowKey
flowOf(std::uint16_t aCaller);

/** Address of the single route in the tests. */
constexpr Core::Endpoint kRoute{ 0xC6120001, 443 };

} // namespace Test
