#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Ownership {

/** Identifies one incarnation of an agent as a claimer; 0 is none. */
using ClaimerId = std::uint64_t;

/** What an agent has recorded about a flow of a non-idempotent class. */
struct Claim
{
  ClaimerId claimer = 0;
  Config::Identity owner = 0;
  /** True if this agent rejected the flow and will never admit it. */
  bool isRejected = false;
  /** True if the caller was notified that the flow did not run. */
  bool isRefused = false;
  Core::TimePoint recordedAt;
};

/**
 * A write-once record for each flow of a non-idempotent class: the claim of
 * the first claimer is valid until the replay window has passed.
 */
class ClaimTable
{
public:
  /** Null if nothing is recorded. */
  const Claim* find(const Packet::FlowKey& aFlow) const;

  /**
   * Records the claim unless another claimer has one; returns the valid claim.
   * The same claimer may change the owner, which it does only if the previous
   * owner is known not to have run the flow.
   */
  const Claim& record(const Packet::FlowKey& aFlow,
                      ClaimerId aClaimer,
                      Config::Identity aOwner,
                      Core::TimePoint aNow);

  /**
   * Clears the owner, which did not run the flow, if aClaimer made the claim.
   * The claimer may then record another owner.
   */
  void clearOwner(const Packet::FlowKey& aFlow, ClaimerId aClaimer);

  /** Records that this agent will never admit the flow. */
  void markRejected(const Packet::FlowKey& aFlow, Core::TimePoint aNow);

  /** Records that the caller was notified that the flow did not run. */
  void markRefused(const Packet::FlowKey& aFlow, Core::TimePoint aNow);

  void eraseRecordedBefore(Core::TimePoint aTime);
  std::size_t size() const { return mClaims.size(); }

private:
  absl::flat_hash_map<Packet::FlowKey, Claim> mClaims;
};

} // namespace Ownership
