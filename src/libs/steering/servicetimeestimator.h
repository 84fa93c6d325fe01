#pragma once

#include "core/clock.h"

#include <absl/container/inlined_vector.h>

#include <chrono>
#include <cstdint>

namespace Steering {

/** Identifies requests with the same priority and latency objective. */
using RequestClass = std::uint32_t;

/**
 * Estimates the mean time in which a backend server answers a request, so that
 * the values of servers that get different mixes of requests can be compared.
 * Used by one thread.
 */
class ServiceTimeEstimator
{
public:
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /** Mean until it is known. */
  static constexpr Milliseconds kInitialMean{ 50 };
  /** Answers after which the mean is known. */
  static constexpr int kMinSamples = 8;

  /** Records the time from the delivery of a request to its answer. */
  void record(RequestClass aClass, Core::Duration aElapsed);
  /** Discards all measurements, after a restart of the backend server. */
  void reset() { *this = ServiceTimeEstimator(); }

  bool isKnown() const { return mSamples >= kMinSamples; }
  /**
   * Mean of the classes, weighted by their share of the requests; kInitialMean
   * until it is known. An answer that takes much longer than the mean counts in
   * part, so the value is up to 15% too low if 3% of the requests take 7 times
   * the mean.
   */
  Milliseconds mean() const;
  /**
   * The mean for load reports: 0 ms if it is not known, otherwise the nearest
   * whole number of milliseconds and at least 1.
   */
  std::chrono::milliseconds reportedMean() const;

private:
  struct ClassMean
  {
    RequestClass requestClass = 0;
    int samples = 0;
    double share = 0;
    Milliseconds mean{ 0 };
  };

  ClassMean& findOrInsert(RequestClass aClass);

  absl::InlinedVector<ClassMean, 4> mClasses;
  int mSamples = 0;
};

} // namespace Steering
