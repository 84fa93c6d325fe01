#pragma once

#include "config/document.h"

#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Routing {

/**
 * Tells the homes of a flow among the targets of one service, the first of
 * which keeps the flow's place in its directory, and the peers of a home,
 * among which it chooses owners. Both depend on nothing but the targets'
 * identities, and adding a target moves only what it takes. Few targets are
 * ranked by rendezvous hashing, which needs no memory; more stand on a
 * consistent hash ring, whose look-up does not grow with them.
 */
class HomeRing
{
public:
  /** Homes of a flow that are worth trying, in order. */
  static constexpr std::size_t kHomes = 3;
  /** Targets whose load a home follows. */
  static constexpr std::size_t kPeers = 7;
  /** Up to so many targets are ranked without a ring. */
  static constexpr std::size_t kRankedTargets = 16;

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

  void buildRing();
  Homes rankedHomes(std::uint64_t aFlowHash) const;
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
