#include "commands.h"

#include "exitcode.h"

#include "telemetry/flowstory.h"

#include <absl/strings/str_format.h>
#include <json/value.h>
#include <json/writer.h>

#include <fstream>
#include <iostream>

namespace {

void
printText(const Telemetry::FlowStory& aStory)
{
  for (const auto& line : aStory.lines) {
    std::cout << absl::StrFormat("%d %+6d ms  %-24s LS%d %s  %s\n",
                                 line.time,
                                 line.time - aStory.lines.front().time,
                                 line.process,
                                 line.number,
                                 line.event,
                                 line.fields);
  }
  for (const auto& note : aStory.clockNotes) {
    std::cout << "note: " << note << "\n";
  }
}

void
printJson(const Telemetry::FlowStory& aStory)
{
  Json::Value page;
  page["lines"] = Json::Value(Json::arrayValue);
  page["clockNotes"] = Json::Value(Json::arrayValue);
  for (const auto& line : aStory.lines) {
    Json::Value entry;
    entry["time"] = Json::Value::Int64(line.time);
    entry["process"] = line.process;
    entry["number"] = line.number;
    entry["event"] = line.event;
    entry["fields"] = line.fields;
    page["lines"].append(std::move(entry));
  }
  for (const auto& note : aStory.clockNotes) {
    page["clockNotes"].append(note);
  }
  std::cout << Json::writeString(Json::StreamWriterBuilder(), page) << "\n";
}

} // namespace

int
runTrace(const CommandLine& aLine)
{
  if (aLine.words.size() < 2) {
    std::cerr << "usage: lacewingctl trace FLOW|CALLER FILE... [--json]\n";
    return kUsage;
  }
  Telemetry::FlowStoryReader reader(aLine.words.front());
  for (std::size_t i = 1; i < aLine.words.size(); ++i) {
    std::ifstream stream(aLine.words[i]);
    if (!stream) {
      std::cerr << aLine.words[i] << ": cannot be read\n";
      return kUnreadable;
    }
    reader.read(stream);
  }
  const auto story = reader.story();
  if (aLine.options.count("json") > 0) {
    printJson(story);
  } else {
    printText(story);
  }
  return story.lines.empty() ? kNegative : kSuccess;
}
