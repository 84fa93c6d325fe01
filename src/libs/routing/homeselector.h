#pragma once

#include "config/document.h"

#include <absl/container/inlined_vector.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Routing {

/**
 * Selects the homes of a flow among the targets of one service, and the peers
 * of a home. A home, or home agent, is an agent that a hash picks to coordinate
 * a flow. The first home stores the flow's owner in its directory. A home
 * chooses owners among itself and its peers. Both results depend only on the
 * identities of the targets, and adding a target moves only the flows whose
 * home it becomes. A small number of targets is ranked by rendezvous hashing,
 * which needs no memory. More targets are put on a consistent hash ring, so
 * that the lookup time does not grow with their number.
 */
class HomeSelector
{
public:
  /** Maximum number of homes of a flow. */
  static constexpr std::size_t kMaxHomes = 3;
  /** Maximum number of other targets whose load a home tracks. */
  static constexpr std::size_t kMaxPeers = 7;
  /** Maximum number of targets that are ranked without a ring. */
  static constexpr std::size_t kMaxRankedTargets = 16;

  using Homes = absl::InlinedVector<std::uint32_t, kMaxHomes>;
  using Peers = absl::InlinedVector<std::uint32_t, kMaxPeers>;

  explicit HomeSelector(absl::Span<const Config::Identity> aTargets);

  /** Indexes of the homes, in the order to try; empty without targets. */
  Homes homes(std::uint64_t aFlowHash) const;

  /** Indexes of the peers of the target at index aTarget. */
  Peers peers(std::uint32_t aTarget) const;

private:
  struct Point
  {
    std::uint32_t position;
    std::uint32_t target;
  };

  void buildRing();
  Homes rankedHomes(std::uint64_t aFlowHash) const;
  /** Index of the first point at or after aPosition; wraps around. */
  std::size_t findPoint(std::uint32_t aPosition) const;
  template<typename IndexList>
  void appendDistinctTargets(std::size_t aFirstPoint,
                             std::size_t aMaxCount,
                             IndexList& aIndexes) const;

  std::vector<Config::Identity> mTargets;
  std::vector<Point> mPoints;
  /**
   * Index of the first point at or after the start of each bucket. The buckets
   * divide the ring into equal parts.
   */
  std::vector<std::uint32_t> mBucketStarts;
  unsigned mBucketShift = 0;
};

} // namespace Routing
