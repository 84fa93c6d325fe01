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
  /** The process's name, told in each line. */
  std::string process;
  std::string level = "info";
  bool json = false;
};

/**
 * Writes numbered events to the standard output. A line never waits: it goes
 * to a queue of its own task, and is dropped and counted when that is full.
 * Each event has a budget of lines a second; the next line after a pause tells
 * how many were left out. Any thread may write.
 */
class EventLog
{
public:
  /** Lines of an event that comes with each flow. */
  static constexpr int kFlowLinesPerSecond = 20;
  /** Lines of an event that tells of ordinary delivery; a sample. */
  static constexpr int kSampledLinesPerSecond = 2;
  /** Lines of any other event. */
  static constexpr int kOtherLinesPerSecond = 5;
  /** Lines that wait for the standard output; about 250 KB. */
  static constexpr std::size_t kQueueLines = 1'024;

  explicit EventLog(const EventLogSettings& aSettings);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /** aDetail tells the cause, the step and the peer. */
  void write(Event aEvent, absl::string_view aDetail);
  /** aMakeFields is called only for a line that is written. */
  void write(Event aEvent, absl::FunctionRef<EventFields()> aMakeFields);

  /** Lines that were dropped because the output did not take them. */
  std::uint64_t droppedLines() const;
  /** Lines that were left out to keep within the budgets. */
  std::uint64_t suppressedLines() const;

private:
  class Private;
  std::unique_ptr<Private> d;
};

} // namespace Telemetry
