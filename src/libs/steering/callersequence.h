#pragma once

#include "steering/packetformat.h"

#include <cstdint>
#include <optional>

namespace Steering {

/**
 * Sequence numbers of a caller in a flow. They tell whether a packet belongs to
 * that flow or to another one from the same port, an earlier or a later one.
 */
class CallerSequence
{
public:
  /**
   * Sequence numbers that are further apart belong to different flows. A caller
   * has at most 16 packets of 1,200 bytes in flight.
   */
  static constexpr std::int32_t kMaxDistance = 1 << 17;

  template<FlowPacket PacketType>
  void record(const PacketType& aPacket)
  {
    if (!mNewest || distanceTo(aPacket.sequence()) > 0) {
      mNewest = aPacket.sequence();
    }
    mHasCallerEnded |= aPacket.isFin() || aPacket.isReset();
  }

  /**
   * Whether the packet is certainly of another flow. Resets may have any
   * sequence number.
   */
  template<FlowPacket PacketType>
  bool isOtherFlow(const PacketType& aPacket) const
  {
    if (!mNewest || aPacket.isReset()) {
      return false;
    }
    const auto distance = distanceTo(aPacket.sequence());
    if (!aPacket.isSyn()) {
      return !isNear(distance);
    }
    // Only retransmissions of a SYN may arrive after later packets of its flow.
    const bool isOriginal = aPacket.retransmissionCount() == 0;
    return distance > 0 || !isNear(distance) || (mHasCallerEnded && isOriginal);
  }

  /** Whether a sequence number of the caller may be of the flow. */
  bool mayContain(std::uint32_t aSequence) const
  {
    return !mNewest || isNear(distanceTo(aSequence));
  }

  /** 0 if no packet was recorded. */
  std::uint32_t newest() const { return mNewest.value_or(0); }

private:
  static bool isNear(std::int32_t aDistance)
  {
    return aDistance >= -kMaxDistance && aDistance <= kMaxDistance;
  }
  std::int32_t distanceTo(std::uint32_t aSequence) const
  {
    return static_cast<std::int32_t>(aSequence - *mNewest);
  }

  std::optional<std::uint32_t> mNewest;
  bool mHasCallerEnded = false;
};

} // namespace Steering
