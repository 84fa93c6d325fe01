#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Ownership {

/** Identifies one life of one agent as a claimer; 0 is none. */
using Claimer = std::uint64_t;

/** What an agent remembers of a flow that must not run twice. */
struct Claim
{
  Claimer claimer = 0;
  Config::Identity owner = 0;
  /** True when this agent turned the flow away and will never admit it. */
  bool isRejected = false;
  /** True when the caller was told that the flow did not run. */
  bool isRefused = false;
  Core::TimePoint madeAt;
};

/**
 * A write-once record for each flow of a non-idempotent class: the first
 * claimer stands until the replay window has passed.
 */
class ClaimTable
{
public:
  /** Null when nothing is remembered. */
  const Claim* find(const Packet::FlowKey& aFlow) const;

  /**
   * Remembers the claim unless another claimer's stands; returns what stands
   * afterwards. The same claimer may change the owner, which it does only
   * when the earlier owner is known to have run nothing.
   */
  const Claim& record(const Packet::FlowKey& aFlow,
                      Claimer aClaimer,
                      Config::Identity aOwner,
                      Core::TimePoint aNow);

  /** The owner of the claim ran nothing; the claimer may name another. */
  void releaseOwner(const Packet::FlowKey& aFlow, Claimer aClaimer);

  /** Remembers that this agent will never admit the flow. */
  void reject(const Packet::FlowKey& aFlow, Core::TimePoint aNow);

  /** Remembers that the caller was told that the flow did not run. */
  void markRefused(const Packet::FlowKey& aFlow, Core::TimePoint aNow);

  void eraseMadeBefore(Core::TimePoint aTime);
  std::size_t size() const { return mClaims.size(); }

private:
  absl::flat_hash_map<Packet::FlowKey, Claim> mClaims;
};

} // namespace Ownership
