#include "steering/callersequence.h"

#include "testformat.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace {

using Steering::CallerSequence;

enum class Kind
{
  Syn,
  SynCopy,
  Data,
  Fin,
  Reset,
};

Test::TestPacket
packet(std::uint32_t aSequence, Kind aKind = Kind::Data)
{
  Test::PacketFields fields;
  fields.sequence = aSequence;
  fields.isSyn = aKind == Kind::Syn || aKind == Kind::SynCopy;
  fields.acknowledgment = aKind == Kind::SynCopy ? 1 : 0;
  fields.isFin = aKind == Kind::Fin;
  fields.isReset = aKind == Kind::Reset;
  return Test::TestPacket({}, fields);
}

} // namespace

TEST_CASE("packets near the newest sequence number are of the same flow")
{
  // The sequence numbers wrap around.
  constexpr std::uint32_t kStart = 0xFFFFFF00;
  CallerSequence sequence;
  CHECK_FALSE(sequence.isOtherFlow(packet(7)));
  CHECK(sequence.mayContain(7));
  sequence.record(packet(kStart, Kind::Syn));
  CHECK_FALSE(sequence.isOtherFlow(packet(kStart, Kind::Syn)));
  sequence.record(packet(kStart + 1'200));
  CHECK(sequence.newest() == kStart + 1'200);
  // An older packet does not take the newest number back.
  sequence.record(packet(kStart + 1));
  CHECK(sequence.newest() == kStart + 1'200);
  CHECK_FALSE(sequence.isOtherFlow(packet(kStart, Kind::SynCopy)));
  CHECK_FALSE(sequence.isOtherFlow(packet(kStart + 19'200)));
  CHECK(sequence.mayContain(kStart + 19'200));
}

TEST_CASE("packets of other flows from the port are told apart")
{
  CallerSequence sequence;
  sequence.record(packet(1'000, Kind::Syn));
  sequence.record(packet(1'001));
  CHECK(sequence.isOtherFlow(packet(1'002, Kind::Syn)));
  CHECK(sequence.isOtherFlow(packet(3'000'000'000, Kind::Syn)));
  CHECK(sequence.isOtherFlow(packet(3'000'000'000)));
  CHECK_FALSE(sequence.mayContain(3'000'000'000));
  CHECK_FALSE(sequence.isOtherFlow(packet(3'000'000'000, Kind::Reset)));
  SUBCASE("the caller has closed")
  {
    sequence.record(packet(1'001, Kind::Fin));
  }
  SUBCASE("the caller has reset")
  {
    sequence.record(packet(1'001, Kind::Reset));
  }
  CHECK(sequence.isOtherFlow(packet(1'000, Kind::Syn)));
  // A copy may be late, and the end of the flow is retransmitted.
  CHECK_FALSE(sequence.isOtherFlow(packet(1'000, Kind::SynCopy)));
  CHECK_FALSE(sequence.isOtherFlow(packet(1'001, Kind::Fin)));
}
