#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Steering {

/**
 * When a caller sends the copies of an opening packet, from the first one on,
 * and when it ends the attempt.
 */
struct AttemptSchedule
{
  static constexpr std::size_t kCopies = 3;

  std::array<std::chrono::milliseconds, kCopies> sentAfter{};
  std::chrono::milliseconds endsAfter{ 0 };

  bool isLast(std::uint32_t aCopy) const { return aCopy + 1 >= kCopies; }

  /** How long after the first copy this one was sent. */
  std::chrono::milliseconds age(std::uint32_t aCopy) const
  {
    return sentAfter[aCopy < kCopies ? aCopy : kCopies - 1];
  }

  /** From this copy to the next one, or to the end of the attempt. */
  std::chrono::milliseconds timeToNext(std::uint32_t aCopy) const
  {
    return (isLast(aCopy) ? endsAfter : sentAfter[aCopy + 1]) - age(aCopy);
  }
};

} // namespace Steering
