#pragma once

#include "config/settings.h"
#include "control/viewstore.h"
#include "core/stopsource.h"
#include "telemetry/eventlog.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace Json {
class Value;
}

/**
 * What both roles have in common: logs, the exchange of views, the watch of
 * the configuration service, and the wait for a signal.
 */
class Process
{
public:
  /** Starts all tasks; errors tell the step and the peer. */
  static absl::StatusOr<std::unique_ptr<Process>> start(
    const Config::CommonSettings& aSettings,
    const char* aRole);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  Telemetry::EventLog& events();
  Control::ViewStore& store();
  Core::StopSource& stop();

  /**
   * Returns when the process is told to stop by SIGTERM or SIGINT, or when
   * aIsDone says so.
   */
  void waitForSignal(const std::function<bool()>& aIsDone);

  /** Adds name, role, zone, view and control traffic to a status page. */
  void describe(Json::Value& aStatus) const;

private:
  class Private;
  explicit Process(std::unique_ptr<Private> aPrivate);

  std::unique_ptr<Private> d;
};
