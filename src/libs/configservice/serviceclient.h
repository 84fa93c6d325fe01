#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace ConfigService {

/** A value of the configuration service and the index that it has there. */
struct WatchedValue
{
  std::uint64_t index = 0;
  std::string text;
  /** False when the wait ended without a change; the text is empty then. */
  bool hasChanged = false;
};

/**
 * Reads the configuration service over HTTP. A call with an index waits until
 * the value has another index or the time is over. Each call is one call by
 * the service's count.
 */
class ServiceClient
{
public:
  ServiceClient(const Core::Endpoint& aService, std::string aEnvironment);
  ~ServiceClient();

  /** Waits for a document with another index than aIndex. */
  absl::StatusOr<WatchedValue> watchDocument(std::uint64_t aIndex,
                                             std::chrono::milliseconds aWait);
  /** Waits for an instance list with another index than aIndex. */
  absl::StatusOr<WatchedValue> watchInstances(std::uint64_t aIndex,
                                              std::chrono::milliseconds aWait);

  /** Ends a call in progress; may be called from another thread. */
  void cancel();

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace ConfigService
