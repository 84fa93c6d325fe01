#pragma once

#include "control/peerchoice.h"
#include "core/endpoint.h"

#include <memory>
#include <string>
#include <vector>

namespace Core {
class StopSource;
}
namespace Telemetry {
class EventLog;
}

namespace Control {

class ViewStore;
class ZeroMqContext;

/**
 * Asks a few peers for their view again and again, one task for each peer,
 * and takes over what is newer. The peers are chosen anew when the instance
 * list changes; until there is a list, the seeds of the settings are asked.
 */
class ViewExchange
{
public:
  ViewExchange(const ZeroMqContext& aContext,
               SelfPlace aSelf,
               std::vector<Core::Endpoint> aSeeds,
               ViewStore& aStore,
               Telemetry::EventLog& aEvents,
               const Core::StopSource& aStop);
  ~ViewExchange();
  ViewExchange(const ViewExchange&) = delete;
  ViewExchange& operator=(const ViewExchange&) = delete;

  /** Starts and ends peer tasks to match the instance list. */
  void update();

  std::size_t peerCount() const;
  /** Bytes of all requests and answers so far. */
  std::uint64_t exchangedBytes() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Control
