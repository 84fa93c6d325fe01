#pragma once

#include "control/peerchoice.h"
#include "core/endpoint.h"

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace Core {
class StopSource;
}
namespace Telemetry {
class EventLog;
}

namespace Control {

class ViewStore;

/**
 * Watches the configuration service. The service readers of a zone watch it
 * always, other processes only while they have no view or no peer confirms it.
 * Failed calls are retried with exponential backoff and jitter.
 */
class ViewWatch
{
public:
  ViewWatch(const Core::Endpoint& aService,
            const std::string& aEnvironment,
            LocalInstance aSelf,
            ViewStore& aStore,
            Telemetry::EventLog& aEvents,
            const Core::StopSource& aStop);
  ~ViewWatch();
  ViewWatch(const ViewWatch&) = delete;
  ViewWatch& operator=(const ViewWatch&) = delete;

  absl::Status start();
  /** Calls made to the service so far. */
  std::uint64_t callCount() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Control
