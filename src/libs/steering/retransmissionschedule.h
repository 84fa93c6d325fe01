#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Steering {

/**
 * Times at which a caller sends a SYN and its retransmissions, relative to the
 * first one, and at which it ends the connection attempt. Transmissions are
 * numbered from 0.
 */
struct RetransmissionSchedule
{
  static constexpr std::size_t kMaxTransmissions = 3;

  std::array<std::chrono::milliseconds, kMaxTransmissions> sendOffsets{};
  std::chrono::milliseconds timeout{ 0 };

  bool isLast(std::uint32_t aTransmission) const
  {
    return aTransmission + 1 >= kMaxTransmissions;
  }

  /** Time from the first SYN to this transmission. */
  std::chrono::milliseconds age(std::uint32_t aTransmission) const
  {
    return sendOffsets[aTransmission < kMaxTransmissions
                         ? aTransmission
                         : kMaxTransmissions - 1];
  }

  /**
   * Time from this transmission to the next one, or to the end of the attempt.
   */
  std::chrono::milliseconds timeToNext(std::uint32_t aTransmission) const
  {
    return (isLast(aTransmission) ? timeout : sendOffsets[aTransmission + 1]) -
           age(aTransmission);
  }
};

} // namespace Steering
