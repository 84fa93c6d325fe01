#pragma once

#include "steering/maprevision.h"

#include "core/clock.h"
#include "core/endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

struct RouteDeclaration;

/**
 * The services that routes named until lately. A configuration leaves open
 * flows where they are unless it removes their route, so that targets of these
 * services still own flows.
 *
 * Consecutive configurations form a span. A process that starts, or was cut off
 * from the platform, does not know the configurations before its span, except
 * from a process whose span it can join. Not thread-safe.
 */
class RouteHistory
{
public:
  /**
   * No flow is older than a minute on the supported platforms. A balancer that
   * is cut off may open flows by an older configuration for another 15 s.
   */
  static constexpr std::chrono::seconds kRetention{ 80 };

  /** Consecutive configurations, all of which are known. */
  struct Span
  {
    std::uint64_t firstVersion = 0;
    std::uint64_t lastVersion = 0;
    /** Revision of the first configuration. */
    MapRevision firstRevision;
    /** When the first configuration came into use, as far as known. */
    Core::TimePoint since{};
  };
  /** Identifies a service that a route does not name any more. */
  struct Key
  {
    Core::Endpoint route;
    std::string service;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /** When the route was first seen not to name the service. */
  using FormerServices = std::map<Key, Core::TimePoint>;

  RouteHistory() = default;
  /** What another process knows. */
  RouteHistory(const Span& aSpan, FormerServices aFormerServices)
    : mSpan(aSpan)
    , mFormerServices(std::move(aFormerServices))
  {
  }

  /** Begins a span with a configuration whose predecessor is not known. */
  void restart(std::uint64_t aVersion,
               const MapRevision& aRevision,
               Core::TimePoint aSince);
  /** Extends the span by the next configuration. */
  void extend(std::uint64_t aVersion) { mSpan.lastVersion = aVersion; }
  /** Records the services that the routes no longer name. */
  void recordChange(const std::vector<RouteDeclaration>& aBefore,
                    const std::vector<RouteDeclaration>& aAfter,
                    Core::TimePoint aNow);
  /** Adds what another process knows; returns whether any of it is new. */
  bool merge(const RouteHistory& aOther);
  /** Forgets services whose flows have all ended. */
  void expire(Core::TimePoint aNow);

  const Span& span() const { return mSpan; }
  const FormerServices& formerServices() const { return mFormerServices; }
  /** Until then, open flows may be older than the span. */
  Core::TimePoint incompleteUntil() const { return mSpan.since + kRetention; }

private:
  Span mSpan;
  /** The span before the last restart. */
  Span mEarlierSpan;
  FormerServices mFormerServices;
};

} // namespace Steering
