#pragma once

#include "steering/targetselection.h"

#include "core/clock.h"

#include <absl/types/span.h>

#include <chrono>
#include <cstddef>
#include <optional>

namespace Steering {

/** What the reports of a service's targets say about the wait for a slot. */
struct WaitEstimate
{
  /** Mean time to answer a request; 0 without a report. */
  std::chrono::milliseconds serviceTime{ 0 };
  /**
   * The shortest wait of any target behind its requests that are on time;
   * std::nullopt unless the wait at each target is known.
   */
  std::optional<std::chrono::milliseconds> behindOnTime;
  /** The same, behind all its requests. */
  std::optional<std::chrono::milliseconds> behindAll;
};

/**
 * Computes lower bounds of the wait: each target may have worked on its queue
 * since its report. The wait is known if all aTargetCount targets that accept
 * new flows are candidates and have reported.
 */
WaitEstimate
estimateWait(absl::Span<const Candidate> aCandidates,
             std::size_t aTargetCount,
             Core::TimePoint aNow);

} // namespace Steering
