#pragma once

#include "config/document.h"

#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Routing {

/**
 * A consistent hash ring over the targets of one service. It tells the homes
 * of a flow, the first of which keeps the flow's place in its directory, and
 * the peers of a home, among which it chooses owners. Both depend on nothing
 * but the targets' identities, and adding a target moves only what it takes.
 */
class HomeRing
{
public:
  /** Homes of a flow that are worth trying, in order. */
  static constexpr std::size_t kHomes = 3;
  /** Targets whose load a home follows. */
  static constexpr std::size_t kPeers = 7;

  using Homes = absl::InlinedVector<std::uint32_t, kHomes>;
  using Peers = absl::InlinedVector<std::uint32_t, kPeers>;

  explicit HomeRing(absl::Span<const Config::Identity> aTargets);

  /** Indexes of the homes for a flow hash; empty without targets. */
  Homes homes(std::uint64_t aFlowHash) const;

  /** Indexes of the peers of the target with index aTarget. */
  Peers peers(std::uint32_t aTarget) const;

private:
  struct Point
  {
    std::uint32_t position;
    std::uint32_t target;
  };

  std::size_t firstPointAt(std::uint32_t aPosition) const;
  template<typename List>
  void collect(std::size_t aFirst, std::size_t aMost, List& aList) const;

  std::vector<Config::Identity> mTargets;
  std::vector<Point> mPoints;
  /** First point at or after each of equal parts of the ring. */
  std::vector<std::uint32_t> mIndex;
  unsigned mIndexShift = 0;
};

} // namespace Routing
