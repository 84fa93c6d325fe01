#pragma once

#include "core/clock.h"

#include <optional>

namespace Ownership {

/**
 * Passive health check of the backend server. A backend server that does not
 * answer a SYN within one second is unhealthy; it then counts as healthy again
 * every two seconds, so that a new flow probes it.
 */
class BackendHealth
{
public:
  /** Records that a SYN was delivered. */
  void recordSyn(Core::TimePoint aNow);
  /** Records that the backend server sent a packet. */
  void recordAnswer();
  bool isHealthy(Core::TimePoint aNow) const;

private:
  /**
   * Delivery time of the first SYN since the last answer or probe; unset after
   * an answer.
   */
  std::optional<Core::TimePoint> mUnansweredSince;
};

} // namespace Ownership
