#pragma once

#include "core/clock.h"

#include <optional>

namespace Ownership {

/**
 * Tells from the traffic alone whether the backend server is well: one that
 * leaves an opening packet unanswered for a second is sick, and is tried again
 * with one flow every two seconds.
 */
class BackendHealth
{
public:
  /** An opening packet was delivered. */
  void noteOpening(Core::TimePoint aNow);
  /** The backend server sent something. */
  void noteAnswer();
  bool isHealthy(Core::TimePoint aNow) const;

private:
  /** When the oldest opening packet without any answer was delivered. */
  std::optional<Core::TimePoint> mUnansweredSince;
};

} // namespace Ownership
