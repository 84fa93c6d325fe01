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
 * The agents of one view whose consent proves that a flow runs nowhere else:
 * the home and one peer, or every peer. Any two such sets share an agent.
 */
struct Quorum
{
  Config::Identity home = 0;
  std::vector<Config::Identity> peers;

  bool isReached(const absl::flat_hash_set<Config::Identity>& aGranted) const;
};

/** A flow whose owner waits for the consent of others. */
struct Proposal
{
  Packet::Bytes packet;
  Packet::ForwardHeader header;
  Config::Identity owner = 0;
  std::vector<Quorum> quorums;
  absl::flat_hash_set<Config::Identity> granted;
  Core::TimePoint deadline;

  bool isProven() const;
  /** Every agent that is to be asked, in a fixed order. */
  std::set<Config::Identity> participants() const;
};

} // namespace Ownership
