#pragma once

#include "telemetry/eventcatalogue.h"
#include "telemetry/eventfields.h"

#include <absl/functional/function_ref.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Telemetry {

struct EventLogSettings
{
  /** Name of the process, included in each line. */
  std::string process;
  std::string level = "info";
  bool json = false;
};

/**
 * Writes numbered events to the standard output. Writing never blocks: lines go
 * to a queue with its own thread. If the queue is full, its oldest line is
 * dropped and counted. The lines of each event are limited per second, and the
 * first line after that second reports how many were suppressed. Thread-safe.
 */
class EventLog
{
public:
  /** Limit for an event that may occur for each flow. */
  static constexpr int kMaxFlowLinesPerSecond = 20;
  /** Limit for an event that reports a normal delivery; a sample is enough. */
  static constexpr int kMaxSampledLinesPerSecond = 2;
  /** Limit for any other event. */
  static constexpr int kMaxOtherLinesPerSecond = 5;
  /** Capacity of the queue for the standard output; about 250 KB. */
  static constexpr std::size_t kMaxQueuedLines = 1'024;

  explicit EventLog(const EventLogSettings& aSettings);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /** aDetail describes the cause, the step and the peer. */
  void write(Event aEvent, absl::string_view aDetail);
  /** aMakeFields is called only for a line that is written. */
  void write(Event aEvent, absl::FunctionRef<EventFields()> aMakeFields);

  /** Lines that were dropped because the queue was full. */
  std::uint64_t droppedLines() const;
  /** Lines that were suppressed by the limits per second. */
  std::uint64_t suppressedLines() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Telemetry
