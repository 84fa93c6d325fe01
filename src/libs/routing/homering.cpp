#include "routing/homering.h"

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
constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> kRingKey{ 1 };
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
  std::uint64_t value = 0;
  crypto_shorthash(reinterpret_cast<unsigned char*>(&value),
                   data.data(),
                   data.size(),
                   kRingKey.data());
  return static_cast<std::uint32_t>(value);
}

/** Mixes two values that are already well spread; not for hostile input. */
std::uint64_t
mixedScore(std::uint64_t aFlowHash, Config::Identity aTarget)
{
  constexpr std::uint64_t kFirst = 0xff51afd7ed558ccd;
  constexpr std::uint64_t kSecond = 0xc4ceb9fe1a85ec53;
  constexpr unsigned kShift = 33;
  auto value = aFlowHash ^ aTarget;
  value = (value ^ (value >> kShift)) * kFirst;
  value = (value ^ (value >> kShift)) * kSecond;
  return value ^ (value >> kShift);
}

} // namespace

HomeRing::HomeRing(absl::Span<const Config::Identity> aTargets)
  : mTargets(aTargets.begin(), aTargets.end())
{
  if (mTargets.size() > kRankedTargets) {
    buildRing();
  }
}

void
HomeRing::buildRing()
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
  const auto parts = std::bit_ceil(std::max<std::size_t>(mPoints.size(), 2));
  mIndexShift = kPositionBits - std::countr_zero(parts);
  mIndex.resize(parts);
  std::uint32_t point = 0;
  for (std::uint64_t part = 0; part < parts; ++part) {
    const auto start = part << mIndexShift;
    while (point < mPoints.size() && mPoints[point].position < start) {
      ++point;
    }
    mIndex[part] = point;
  }
}

std::size_t
HomeRing::firstPointAt(std::uint32_t aPosition) const
{
  std::size_t point = mIndex[aPosition >> mIndexShift];
  while (point < mPoints.size() && mPoints[point].position < aPosition) {
    ++point;
  }
  return point == mPoints.size() ? 0 : point;
}

template<typename List>
void
HomeRing::collect(std::size_t aFirst, std::size_t aMost, List& aList) const
{
  for (std::size_t n = 0; n < mPoints.size() && aList.size() < aMost; ++n) {
    const auto target = mPoints[(aFirst + n) % mPoints.size()].target;
    if (std::find(aList.begin(), aList.end(), target) == aList.end()) {
      aList.push_back(target);
    }
  }
}

HomeRing::Homes
HomeRing::rankedHomes(std::uint64_t aFlowHash) const
{
  std::array<std::pair<std::uint64_t, std::uint32_t>, kRankedTargets> ranks;
  for (std::uint32_t target = 0; target < mTargets.size(); ++target) {
    ranks[target] = { mixedScore(aFlowHash, mTargets[target]), target };
  }
  const auto most = std::min(kHomes, mTargets.size());
  const auto end = ranks.begin() + mTargets.size();
  std::partial_sort(ranks.begin(), ranks.begin() + most, end, std::greater<>());
  Homes list;
  for (std::size_t i = 0; i < most; ++i) {
    list.push_back(ranks[i].second);
  }
  return list;
}

HomeRing::Homes
HomeRing::homes(std::uint64_t aFlowHash) const
{
  if (mPoints.empty()) {
    return rankedHomes(aFlowHash);
  }
  Homes list;
  const auto position = static_cast<std::uint32_t>(aFlowHash);
  const auto most = std::min(kHomes, mTargets.size());
  collect(firstPointAt(position), most, list);
  return list;
}

HomeRing::Peers
HomeRing::peers(std::uint32_t aTarget) const
{
  Peers list;
  if (mTargets.size() <= kPeers + 1) {
    // Everybody is everybody's peer.
    for (std::uint32_t target = 0; target < mTargets.size(); ++target) {
      if (target != aTarget) {
        list.push_back(target);
      }
    }
    return list;
  }
  // Each place offers several, since one may be the target itself.
  for (std::uint32_t i = 0; list.size() < kPeers; ++i) {
    const auto place = ringPosition(mTargets[aTarget], kPeerSalt + i);
    for (const auto target : homes(mixedScore(place, mTargets[aTarget]))) {
      const bool isNew =
        target != aTarget &&
        std::find(list.begin(), list.end(), target) == list.end();
      if (isNew) {
        list.push_back(target);
        break;
      }
    }
  }
  return list;
}

} // namespace Routing
