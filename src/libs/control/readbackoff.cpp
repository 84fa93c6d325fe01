#include "control/readbackoff.h"

#include <algorithm>
#include <cstdint>

namespace Control {

std::chrono::milliseconds
ReadBackoff::next(bool aIsServiceReader, std::mt19937_64& aRandom)
{
  const auto longest =
    std::min(mDelay, aIsServiceReader ? kMaxReaderDelay : kMaxDelay);
  std::uniform_int_distribution<std::int64_t> delay(longest.count() / 2,
                                                    longest.count());
  mDelay = std::min(mDelay * 2, kMaxDelay);
  return std::chrono::milliseconds(delay(aRandom));
}

} // namespace Control
