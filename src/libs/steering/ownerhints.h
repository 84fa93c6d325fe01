#pragma once

#include "core/clock.h"
#include "core/endpoint.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>

namespace Steering {

/**
 * What an agent was told of flows that other agents have. It saves a search
 * through a large service; nothing depends on it. Used by one thread.
 */
class OwnerHints
{
public:
  /** Twice the time for which agents remember an idle flow. */
  static constexpr std::chrono::seconds kMemory{ 60 };
  static constexpr std::chrono::seconds kSweepInterval{ 5 };
  /**
   * The most that are kept, about 1 MB: twenty times the flows of a target at
   * 14 million flows and 13,000 targets.
   */
  static constexpr std::size_t kCapacity = 20'000;

  void note(const Packet::FlowKey& aFlow,
            const Core::Endpoint& aAgent,
            Core::TimePoint aNow);
  /** Null when nothing is known. */
  Core::Endpoint find(const Packet::FlowKey& aFlow) const;
  /** Forgets old hints; does nothing between sweeps. */
  void expire(Core::TimePoint aNow);
  std::size_t size() const { return mHints.size(); }

private:
  struct Hint
  {
    Core::Endpoint agent;
    Core::TimePoint notedAt{};
  };

  absl::flat_hash_map<Packet::FlowKey, Hint> mHints;
  Core::TimePoint mSweptAt{};
};

} // namespace Steering
