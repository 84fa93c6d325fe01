#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

namespace Balancing {

/**
 * Detects home agents that do not reply. The home of every new flow replies
 * with an owner notice. A home that does not reply in time is suspected: it is
 * skipped for a while and then tried again. This needs no probe messages.
 */
class HomeFailureDetector
{
public:
  void recordRequest(Config::Identity aHome, Core::TimePoint aNow);
  void recordReply(Config::Identity aHome);
  bool isSuspected(Config::Identity aHome, Core::TimePoint aNow);

private:
  struct Entry
  {
    /** Time of the first request since the last reply. */
    Core::TimePoint requestedAt;
    /** Zero until the home is suspected. */
    Core::TimePoint suspectedUntil;
  };

  /** Homes that a reply is expected from, and suspected homes. */
  absl::flat_hash_map<Config::Identity, Entry> mEntries;
};

} // namespace Balancing
