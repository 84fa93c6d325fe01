#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace Telemetry {

/** One line of a log that is about the flow asked for. */
struct StoryLine
{
  /** Unix milliseconds by the writing process's clock. */
  std::int64_t time = 0;
  std::string process;
  int number = 0;
  std::string event;
  /** The event's own fields as "name=value", separated by blanks. */
  std::string fields;
};

/** What the logs of several processes tell about one flow. */
struct FlowStory
{
  /** In order of time. */
  std::vector<StoryLine> lines;
  /** A line for each pair of processes whose clocks disagree for sure. */
  std::vector<std::string> clockNotes;
  /** Lines that are no events, and were passed over. */
  std::size_t unreadableLines = 0;
};

/** Collects the lines about one flow from the logs of several processes. */
class FlowStoryReader
{
public:
  /** A flow's number as in the logs, or its caller as "192.0.2.1:4000". */
  explicit FlowStoryReader(std::string aFlow);

  /** Reads one log of JSON lines; what stands before an object is ignored. */
  void read(std::istream& aLog);
  /** The story so far. */
  FlowStory story() const;

private:
  std::string mFlow;
  FlowStory mStory;
};

} // namespace Telemetry
