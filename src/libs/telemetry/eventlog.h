#pragma once

#include "telemetry/eventcatalogue.h"

#include <absl/strings/string_view.h>
#include <memory>
#include <string>

namespace Telemetry {

struct EventLogSettings
{
  /** The process's name, told in each line. */
  std::string process;
  std::string level = "info";
  bool json = false;
};

/**
 * Writes numbered events to the standard error stream. The same event is
 * written at most ten times in ten seconds; the next line after that tells
 * how many were left out. Any thread may write.
 */
class EventLog
{
public:
  explicit EventLog(const EventLogSettings& aSettings);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /** aDetail tells the cause, the step and the peer. */
  void write(Event aEvent, absl::string_view aDetail);

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Telemetry
