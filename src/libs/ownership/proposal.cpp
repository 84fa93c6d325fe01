#include "ownership/proposal.h"

#include <algorithm>

namespace Ownership {

bool
Quorum::isReached(const absl::flat_hash_set<Config::Identity>& aGrantedBy) const
{
  const auto isGranted = [&aGrantedBy](Config::Identity aAgent) {
    return aGrantedBy.contains(aAgent);
  };
  if (std::all_of(peers.begin(), peers.end(), isGranted)) {
    // Without peers the home alone decides.
    return !peers.empty() || isGranted(home);
  }
  return isGranted(home) && std::any_of(peers.begin(), peers.end(), isGranted);
}

bool
Proposal::isProven() const
{
  return std::all_of(
    quorums.begin(), quorums.end(), [this](const Quorum& aQuorum) {
      return aQuorum.isReached(grantedBy);
    });
}

std::set<Config::Identity>
Proposal::participants() const
{
  std::set<Config::Identity> all;
  for (const auto& quorum : quorums) {
    all.insert(quorum.home);
    all.insert(quorum.peers.begin(), quorum.peers.end());
  }
  return all;
}

} // namespace Ownership
