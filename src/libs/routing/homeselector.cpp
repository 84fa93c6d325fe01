#include "routing/homeselector.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <bit>
#include <functional>
#include <utility>

namespace Routing {

namespace {

constexpr std::uint32_t kPointsPerTarget = 32;
constexpr unsigned kPositionBits = 32;
/** Not secret: every process has to compute the same positions. */
constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kRingKey{ 1 };
/** Separates the lookup positions of peers from the points; ASCII "PEER". */
constexpr std::uint32_t kPeerSalt = 0x50454552;

std::uint32_t
ringPosition(Config::Identity aTarget, std::uint32_t aSalt)
{
  std::array<unsigned char, sizeof(aTarget) + sizeof(aSalt)> data{};
  std::copy_n(reinterpret_cast<const unsigned char*>(&aTarget),
              sizeof(aTarget),
              data.begin());
  std::copy_n(reinterpret_cast<const unsigned char*>(&aSalt),
              sizeof(aSalt),
              data.begin() + sizeof(aTarget));
  std::uint64_t hash = 0;
  crypto_shorthash(reinterpret_cast<unsigned char*>(&hash),
                   data.data(),
                   data.size(),
                   kRingKey.data());
  return static_cast<std::uint32_t>(hash);
}

/**
 * Mixes two uniformly distributed values with the finalizer of MurmurHash3.
 * Not safe for values that an attacker can choose.
 */
std::uint64_t
mixHash(std::uint64_t aHash, Config::Identity aTarget)
{
  constexpr std::uint64_t kFirstMultiplier = 0xff51afd7ed558ccd;
  constexpr std::uint64_t kSecondMultiplier = 0xc4ceb9fe1a85ec53;
  constexpr unsigned kShift = 33;
  auto mixed = aHash ^ aTarget;
  mixed = (mixed ^ (mixed >> kShift)) * kFirstMultiplier;
  mixed = (mixed ^ (mixed >> kShift)) * kSecondMultiplier;
  return mixed ^ (mixed >> kShift);
}

} // namespace

HomeSelector::HomeSelector(absl::Span<const Config::Identity> aTargets)
  : mTargets(aTargets.begin(), aTargets.end())
{
  if (mTargets.size() > kMaxRankedTargets) {
    buildRing();
  }
}

void
HomeSelector::buildRing()
{
  for (std::uint32_t target = 0; target < mTargets.size(); ++target) {
    for (std::uint32_t i = 0; i < kPointsPerTarget; ++i) {
      mPoints.push_back({ ringPosition(mTargets[target], i), target });
    }
  }
  std::sort(mPoints.begin(),
            mPoints.end(),
            [this](const Point& aLeft, const Point& aRight) {
              return std::pair(aLeft.position, mTargets[aLeft.target]) <
                     std::pair(aRight.position, mTargets[aRight.target]);
            });
  const auto bucketCount =
    std::bit_ceil(std::max<std::size_t>(mPoints.size(), 2));
  mBucketShift = kPositionBits - std::countr_zero(bucketCount);
  mBucketStarts.resize(bucketCount);
  std::uint32_t point = 0;
  for (std::uint64_t bucket = 0; bucket < bucketCount; ++bucket) {
    const auto start = bucket << mBucketShift;
    while (point < mPoints.size() && mPoints[point].position < start) {
      ++point;
    }
    mBucketStarts[bucket] = point;
  }
}

std::size_t
HomeSelector::findPoint(std::uint32_t aPosition) const
{
  std::size_t point = mBucketStarts[aPosition >> mBucketShift];
  while (point < mPoints.size() && mPoints[point].position < aPosition) {
    ++point;
  }
  return point == mPoints.size() ? 0 : point;
}

template<typename IndexList>
void
HomeSelector::appendDistinctTargets(std::size_t aFirstPoint,
                                    std::size_t aMaxCount,
                                    IndexList& aIndexes) const
{
  for (std::size_t i = 0; i < mPoints.size() && aIndexes.size() < aMaxCount;
       ++i) {
    const auto target = mPoints[(aFirstPoint + i) % mPoints.size()].target;
    if (std::find(aIndexes.begin(), aIndexes.end(), target) == aIndexes.end()) {
      aIndexes.push_back(target);
    }
  }
}

HomeSelector::Homes
HomeSelector::rankedHomes(std::uint64_t aFlowHash) const
{
  std::array<std::pair<std::uint64_t, std::uint32_t>, kMaxRankedTargets> scores;
  for (std::uint32_t target = 0; target < mTargets.size(); ++target) {
    scores[target] = { mixHash(aFlowHash, mTargets[target]), target };
  }
  const auto count = std::min(kMaxHomes, mTargets.size());
  const auto end = scores.begin() + mTargets.size();
  std::partial_sort(
    scores.begin(), scores.begin() + count, end, std::greater<>());
  Homes selectedHomes;
  for (std::size_t i = 0; i < count; ++i) {
    selectedHomes.push_back(scores[i].second);
  }
  return selectedHomes;
}

HomeSelector::Homes
HomeSelector::homes(std::uint64_t aFlowHash) const
{
  if (mPoints.empty()) {
    return rankedHomes(aFlowHash);
  }
  Homes selectedHomes;
  const auto position = static_cast<std::uint32_t>(aFlowHash);
  const auto maxCount = std::min(kMaxHomes, mTargets.size());
  appendDistinctTargets(findPoint(position), maxCount, selectedHomes);
  return selectedHomes;
}

HomeSelector::Peers
HomeSelector::peers(std::uint32_t aTarget) const
{
  Peers selectedPeers;
  if (mTargets.size() <= kMaxPeers + 1) {
    // All other targets are peers.
    for (std::uint32_t target = 0; target < mTargets.size(); ++target) {
      if (target != aTarget) {
        selectedPeers.push_back(target);
      }
    }
    return selectedPeers;
  }
  // Each position has several candidates. One of them may be the target itself
  // or already a peer.
  for (std::uint32_t i = 0; selectedPeers.size() < kMaxPeers; ++i) {
    const auto position = ringPosition(mTargets[aTarget], kPeerSalt + i);
    for (const auto target : homes(mixHash(position, mTargets[aTarget]))) {
      const bool isNew =
        target != aTarget &&
        std::find(selectedPeers.begin(), selectedPeers.end(), target) ==
          selectedPeers.end();
      if (isNew) {
        selectedPeers.push_back(target);
        break;
      }
    }
  }
  return selectedPeers;
}

} // namespace Routing
