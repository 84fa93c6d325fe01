#pragma once

#include "config/document.h"
#include "ownership/loadboard.h"

#include <absl/types/span.h>

#include <absl/strings/string_view.h>

namespace Ownership {

/** One target that a home may choose. */
struct Candidate
{
  Config::Identity target = 0;
  absl::string_view zone;
  Load load;
};

/** What a choice is made for. */
struct ChoiceRequest
{
  Config::Occupies occupies = Config::Occupies::Slot;
  Config::ZonePreference preference = Config::ZonePreference::Spread;
  /** Availability zone in which the flow entered. */
  absl::string_view zone;
  /** Breaks ties, so that homes do not all choose the same target. */
  std::uint64_t flowHash = 0;
};

/**
 * The candidate with the least share of its room in use; 0 when none has
 * room. With OwnFirst a candidate of the own zone goes first while it has
 * room; with Spread the own zone only breaks ties.
 */
Config::Identity
chooseTarget(absl::Span<const Candidate> aCandidates,
             const ChoiceRequest& aRequest);

} // namespace Ownership
