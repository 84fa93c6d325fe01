#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace Steering {

/**
 * Decides whether a backend server that ends requests without an answer gets
 * new ones. It answers the load that such a server attracts: a request that
 * fails frees its slot at once, so the server looks idle and is chosen more
 * often than the sound ones.
 *
 * After kFailureThreshold failures in succession the server is ejected. It then
 * gets one request per kProbeInterval. The first one that it answers ends the
 * ejection, and each answer doubles the number of requests that the server may
 * have at a time, until all its slots are in use again. A failure meanwhile
 * ejects it again. Used by one thread.
 */
class OutlierDetector
{
public:
  /** Failures without an answer between them after which it is ejected. */
  static constexpr int kFailureThreshold = 3;
  /**
   * Failures without an answer between them after which it gets probes only,
   * also while balancers ignore ejections. At a server that fails half of its
   * requests, one series in 256 is as long.
   */
  static constexpr int kDownThreshold = 8;
  static constexpr std::chrono::milliseconds kProbeInterval{ 250 };
  /**
   * A probe that runs at most once costs its caller the request, so it is used
   * only if no idempotent request came for this time.
   */
  static constexpr std::chrono::milliseconds kIdempotentProbeTimeout{ 500 };

  /** Records that the server answered a request. */
  void recordAnswer(std::uint32_t aSlots);
  /**
   * Records that the server ended a flow whose request it had not answered.
   * Returns true if this ejects it.
   */
  bool recordFailure(Core::TimePoint aNow);
  /**
   * Returns true if an ejected server may get a request now as a probe, which
   * is then used up.
   */
  bool takeProbe(bool aIsIdempotent, Core::TimePoint aNow);

  bool isEjected() const { return mIsEjected; }
  /** It is ejected and has failed kDownThreshold requests in succession. */
  bool isDown() const { return mFailures >= kDownThreshold; }
  /**
   * Slots out of aSlots that new requests may use; less than aSlots until a
   * server that was ejected has answered enough requests.
   */
  std::uint32_t usableSlots(std::uint32_t aSlots) const;

private:
  bool mIsEjected = false;
  int mFailures = 0;
  /** Requests at a time after an ejection; 0 if not limited. */
  std::uint32_t mRequestLimit = 0;
  Core::TimePoint mLastProbeAt{};
  Core::TimePoint mLastIdempotentAt{};
};

} // namespace Steering
