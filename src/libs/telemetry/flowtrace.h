#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace Telemetry {

/** One log line of the requested flow. */
struct TraceLine
{
  /** Unix time in milliseconds, by the clock of the process. */
  std::int64_t time = 0;
  std::string process;
  int number = 0;
  std::string event;
  /** The fields of the event as "name=value", separated by spaces. */
  std::string fields;
};

/** The log lines of one flow, merged from several processes. */
struct FlowTrace
{
  /** Ordered by time. */
  std::vector<TraceLine> lines;
  /** Notes about processes whose clock is behind that of another one. */
  std::vector<std::string> clockNotes;
  /** Number of lines that were skipped because they aren't events. */
  std::size_t unreadableLines = 0;
};

/** Collects the lines of one flow from the logs of several processes. */
class FlowTraceReader
{
public:
  /** The flow's hash as in the logs, or its caller as "192.0.2.1:4000". */
  explicit FlowTraceReader(std::string aFlow);

  /** Reads a log of JSON lines; a prefix before the JSON object is ignored. */
  void read(std::istream& aLog);
  /** The trace of all logs that were read so far. */
  FlowTrace flowTrace() const;

private:
  std::string mFlow;
  FlowTrace mTrace;
};

} // namespace Telemetry
