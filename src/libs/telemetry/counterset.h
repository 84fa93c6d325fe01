#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace Telemetry {

/**
 * One counter for each value of an enumeration that ends with Count. Any
 * thread may read while another counts.
 */
template<typename Enum>
class CounterSet
{
public:
  static constexpr std::size_t kSize = static_cast<std::size_t>(Enum::Count);

  void increment(Enum aCounter, std::uint64_t aBy = 1)
  {
    slot(aCounter).fetch_add(aBy, std::memory_order_relaxed);
  }

  std::uint64_t value(Enum aCounter) const
  {
    return mValues[static_cast<std::size_t>(aCounter)].load(
      std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t>& slot(Enum aCounter)
  {
    return mValues[static_cast<std::size_t>(aCounter)];
  }

  std::array<std::atomic<std::uint64_t>, kSize> mValues{};
};

} // namespace Telemetry
