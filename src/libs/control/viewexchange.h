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
 * Polls a few peers for their view, on one thread for each peer, and applies
 * newer data. The peers are chosen from the instance list. If there is no list
 * or it yields no peer, the seeds of the settings are polled.
 */
class ViewExchange
{
public:
  ViewExchange(const ZeroMqContext& aContext,
               LocalInstance aSelf,
               std::vector<Core::Endpoint> aSeeds,
               ViewStore& aStore,
               Telemetry::EventLog& aEvents,
               const Core::StopSource& aStop);
  ~ViewExchange();
  ViewExchange(const ViewExchange&) = delete;
  ViewExchange& operator=(const ViewExchange&) = delete;

  /** Starts and stops threads to match the peers of the instance list. */
  void update();

  std::size_t peerCount() const;
  /** Bytes of all requests and replies so far. */
  std::uint64_t exchangedBytes() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Control
