#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace FlowTesting {

/**
 * One direction of a network link: a queue that is sent in order of arrival at
 * a fixed rate. A packet that would stay too long is lost.
 */
class SimulatedLink
{
public:
  /** Bytes of the IP and UDP headers of each packet. */
  static constexpr std::size_t kHeaderBytes = 28;
  static constexpr std::chrono::milliseconds kMaxQueueTime{ 1'000 };

  /** A rate of 0 is unlimited. */
  explicit SimulatedLink(std::uint64_t aBytesPerSecond)
    : mBytesPerSecond(aBytesPerSecond)
  {
  }

  /**
   * Returns when a packet that arrives now leaves the link; std::nullopt if it
   * is lost.
   */
  std::optional<Core::TimePoint> transmit(std::size_t aBytes,
                                          Core::TimePoint aNow);

  /** Bytes that were transmitted, including the headers. */
  std::uint64_t byteCount() const { return mByteCount; }
  /** The longest time that a packet has stayed so far. */
  Core::Duration peakTime() const { return mPeakTime; }

private:
  std::uint64_t mBytesPerSecond;
  Core::TimePoint mFreeAt{};
  Core::Duration mPeakTime{};
  std::uint64_t mByteCount = 0;
};

} // namespace FlowTesting
