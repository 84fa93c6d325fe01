#pragma once

#include "config/settings.h"
#include "control/viewstore.h"
#include "core/stopsource.h"
#include "telemetry/eventlog.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <vector>

namespace Json {
class Value;
}

/**
 * The parts that a balancer and an agent share: the log, the exchange of views
 * with peers, the watch of the configuration service, and signal handling.
 */
class Process
{
public:
  /** Starts all threads. An error names the failed step and the peer. */
  static absl::StatusOr<std::unique_ptr<Process>> start(
    const Config::CommonSettings& aSettings,
    const char* aRole);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  Telemetry::EventLog& events();
  Control::ViewStore& store();
  Core::StopSource& stopSource();

  /**
   * Waits until SIGTERM or SIGINT requests a stop, or until aIsDone returns
   * true. Meanwhile, updates the peers of the view exchange.
   */
  void waitForSignal(const std::function<bool()>& aIsDone);

  /** The evacuated zones in the current view. */
  std::vector<Config::EvacuatedZone> evacuatedZones() const;

  /** Adds name, role, zone, view and control traffic to a status page. */
  void addStatus(Json::Value& aStatus) const;

private:
  class Private;
  explicit Process(std::unique_ptr<Private> aPrivate);

  std::unique_ptr<Private> d;
};
