#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Steering {

/**
 * Limits the messages of owner searches to a share of the balancer's network
 * link, so that callers' packets and replies still pass (token bucket). Not
 * thread-safe.
 */
class LinkBudget
{
public:
  /** Used if the link's rate is unknown: 10 Mbit/s, in bytes per second. */
  static constexpr std::uint64_t kDefaultLinkRate = 1'250'000;
  /** Searches get one part in kShare of the link. */
  static constexpr std::uint64_t kShare = 4;
  /** How much of the link's full rate may be spent at once. */
  static constexpr std::chrono::milliseconds kBurst{ 100 };
  /** Size of the IP and UDP headers of each message. */
  static constexpr std::size_t kHeaderBytes = 28;

  /** aLinkRate is in bytes per second. */
  explicit LinkBudget(std::uint64_t aLinkRate);

  /** Whether a message may be sent now. */
  bool isAvailable(Core::TimePoint aNow);
  /** Takes a message of aBytes, also if it exceeds the budget. */
  void take(std::size_t aBytes);

private:
  double mLinkRate;
  double mAvailableBytes;
  Core::TimePoint mLastRefillAt{};
};

} // namespace Steering
