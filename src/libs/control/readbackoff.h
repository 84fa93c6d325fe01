#pragma once

#include <chrono>
#include <random>

namespace Control {

/**
 * The delay after a failed call of the configuration service. It doubles with
 * each further failure; half of it is random. Not thread-safe.
 */
class ReadBackoff
{
public:
  static constexpr std::chrono::milliseconds kInitialDelay{ 500 };
  /**
   * For the few service readers, from which the others learn of a change: a
   * fraction of the 18 s in which it has to be in force.
   */
  static constexpr std::chrono::milliseconds kMaxReaderDelay{ 5'000 };
  /** For all others, since a whole fleet must not call a failing service. */
  static constexpr std::chrono::milliseconds kMaxDelay{ 30'000 };

  std::chrono::milliseconds next(bool aIsServiceReader,
                                 std::mt19937_64& aRandom);
  /** A call was answered. */
  void reset() { mDelay = kInitialDelay; }

private:
  std::chrono::milliseconds mDelay = kInitialDelay;
};

} // namespace Control
