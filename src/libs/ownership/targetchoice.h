#pragma once

#include "config/document.h"
#include "ownership/peerloadtable.h"

#include <absl/types/span.h>

#include <absl/strings/string_view.h>

namespace Ownership {

/** A target that a home may choose as the owner. */
struct Candidate
{
  Config::Identity target = 0;
  absl::string_view zone;
  Load load;
};

/** The properties of a flow that the choice depends on. */
struct ChoiceRequest
{
  Config::Resource resource = Config::Resource::Slot;
  Config::ZonePreference preference = Config::ZonePreference::Spread;
  /** Availability zone in which the flow entered. */
  absl::string_view zone;
  /** Breaks ties, so that not all homes choose the same target. */
  std::uint64_t flowHash = 0;
};

/**
 * Chooses the candidate with the lowest utilization; 0 if none has capacity.
 * With OwnFirst candidates in the zone of the request are preferred while
 * they have capacity; with Spread the zone only breaks ties.
 */
Config::Identity
chooseTarget(absl::Span<const Candidate> aCandidates,
             const ChoiceRequest& aRequest);

} // namespace Ownership
