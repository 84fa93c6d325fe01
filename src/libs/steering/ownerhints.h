#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>

namespace Steering {

/**
 * Owner hints that balancers sent to this agent. They save a search through all
 * agents of a large service, but correctness does not depend on them. Not
 * thread-safe.
 */
class OwnerHints
{
public:
  /** Twice the idle timeout of flows in agents. */
  static constexpr std::chrono::seconds kRetention{ 60 };
  static constexpr std::chrono::seconds kSweepInterval{ 5 };
  /**
   * Limits the memory to about 1 MB. This is 20 times the flows per target of a
   * fleet with 14 million flows and 13,000 targets.
   */
  static constexpr std::size_t kCapacity = 20'000;

  void store(const Packet::FlowKey& aFlow,
             const Core::Endpoint& aAgent,
             Core::TimePoint aNow);
  /** Null if there is no hint for the flow. */
  Core::Endpoint find(const Packet::FlowKey& aFlow) const;
  /** Removes expired hints; no-op between sweeps. */
  void removeExpired(Core::TimePoint aNow);
  std::size_t size() const { return mHints.size(); }

private:
  struct Hint
  {
    Core::Endpoint agent;
    Core::TimePoint storedAt{};
  };

  absl::flat_hash_map<Packet::FlowKey, Hint> mHints;
  Core::TimePoint mLastSweepAt{};
};

} // namespace Steering
