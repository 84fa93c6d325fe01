#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "packet/forwardheader.h"
#include "packet/packetbuilder.h"

#include <absl/container/flat_hash_set.h>

#include <set>
#include <vector>

namespace Ownership {

/**
 * The participants of one view. A claim is proven once it is granted by the
 * home and one peer, or by every peer. Any two such sets share an agent, so
 * that no two claims of a flow are proven.
 */
struct Quorum
{
  Config::Identity home = 0;
  std::vector<Config::Identity> peers;

  bool isReached(const absl::flat_hash_set<Config::Identity>& aGrantedBy) const;
};

/** A claim of a flow that is not yet proven. */
struct Proposal
{
  Packet::Bytes packet;
  Packet::ForwardHeader header;
  Config::Identity owner = 0;
  std::vector<Quorum> quorums;
  absl::flat_hash_set<Config::Identity> grantedBy;
  Core::TimePoint deadline;

  bool isProven() const;
  /** The agents whose grant counts, in a fixed order. */
  std::set<Config::Identity> participants() const;
};

} // namespace Ownership
