#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace Telemetry {

/**
 * One atomic counter for each enumerator of Enum, whose last enumerator must be
 * Count. Thread-safe.
 */
template<typename Enum>
class CounterSet
{
public:
  static constexpr std::size_t kSize = static_cast<std::size_t>(Enum::Count);

  void increment(Enum aCounter, std::uint64_t aAmount = 1)
  {
    counterAt(aCounter).fetch_add(aAmount, std::memory_order_relaxed);
  }

  std::uint64_t value(Enum aCounter) const
  {
    return mValues[static_cast<std::size_t>(aCounter)].load(
      std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t>& counterAt(Enum aCounter)
  {
    return mValues[static_cast<std::size_t>(aCounter)];
  }

  std::array<std::atomic<std::uint64_t>, kSize> mValues{};
};

} // namespace Telemetry
