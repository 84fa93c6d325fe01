#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace ConfigService {

/** The result of a watch: a value and its index in the service. */
struct WatchResult
{
  std::uint64_t index = 0;
  std::string text;
  /** False if the value did not change in the wait time; text is empty then. */
  bool hasChanged = false;
};

/**
 * Watches the configuration service over HTTP. A call waits until the value's
 * index differs from aIndex or the wait time is over (long polling). Each call
 * is one request, as the service counts them.
 */
class ServiceClient
{
public:
  ServiceClient(const Core::Endpoint& aService, std::string aEnvironment);
  ~ServiceClient();

  /** Waits for a document whose index differs from aIndex. */
  absl::StatusOr<WatchResult> watchDocument(std::uint64_t aIndex,
                                            std::chrono::milliseconds aWait);
  /** Waits for an instance list whose index differs from aIndex. */
  absl::StatusOr<WatchResult> watchInstances(std::uint64_t aIndex,
                                             std::chrono::milliseconds aWait);

  /** Aborts a call in progress. May be called from another thread. */
  void cancel();

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace ConfigService
