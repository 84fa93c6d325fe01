#pragma once

#include "core/clock.h"

#include <optional>

namespace Ownership {

/**
 * Passive health check of the backend server. A backend server that leaves a
 * SYN unanswered for one second is unhealthy. Two seconds after that SYN it
 * counts as healthy again, so that a new flow probes it.
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
   * Delivery time of the first unanswered SYN or of the last probe; unset after
   * an answer.
   */
  std::optional<Core::TimePoint> mUnansweredSince;
};

} // namespace Ownership
