#pragma once

#include "core/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Standins {

/**
 * A stand-in for the platform's key-value store, on a loopback port. Serves
 * range reads and watches, and can be restored from an older copy.
 */
class PlatformStore
{
public:
  PlatformStore();
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  Core::Endpoint endpoint() const;

  void put(const std::string& aKey, const std::string& aValue);
  void erase(const std::string& aKey);
  /**
   * Discards the last aLostChanges changes and starts a new era. Revisions of
   * the discarded changes are given out again. All connections are cut.
   */
  void restore(std::size_t aLostChanges);
  /** Restores while the next paged read is between its first two pages. */
  void restoreDuringNextRead(std::size_t aLostChanges);
  /** Goes back to an earlier era, which a store never does. */
  void setEra(std::uint32_t aEra);
  /** Replaces the era header; "-" leaves it out, an empty text restores it. */
  void overrideEraHeader(const std::string& aText);
  /** An unavailable store answers each call with the status 503. */
  void setAvailable(bool aIsAvailable);
  /**
   * A silent store accepts calls and never answers those that arrive or are
   * due meanwhile, not even when it is no longer silent.
   */
  void setSilent(bool aIsSilent);
  /** Discards the history, so that watches from earlier revisions get 410. */
  void discardHistory();
  /** Answers watches at once, without events. */
  void setWatchesReturnAtOnce(bool aReturnAtOnce);
  void setPageSize(std::size_t aItemCount);

  std::size_t callCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Standins
