#include "commands.h"

#include "exitcode.h"

#include "telemetry/flowtrace.h"

#include <absl/strings/str_format.h>
#include <json/value.h>
#include <json/writer.h>

#include <fstream>
#include <iostream>

namespace {

void
printText(const Telemetry::FlowTrace& aTrace)
{
  for (const auto& line : aTrace.lines) {
    std::cout << absl::StrFormat("%d %+6d ms  %-24s LS%d %s  %s\n",
                                 line.time,
                                 line.time - aTrace.lines.front().time,
                                 line.process,
                                 line.number,
                                 line.event,
                                 line.fields);
  }
  for (const auto& note : aTrace.clockNotes) {
    std::cout << "note: " << note << "\n";
  }
}

void
printJson(const Telemetry::FlowTrace& aTrace)
{
  Json::Value result;
  result["lines"] = Json::Value(Json::arrayValue);
  result["clockNotes"] = Json::Value(Json::arrayValue);
  for (const auto& line : aTrace.lines) {
    Json::Value lineObject;
    lineObject["time"] = Json::Value::Int64(line.time);
    lineObject["process"] = line.process;
    lineObject["number"] = line.number;
    lineObject["event"] = line.event;
    lineObject["fields"] = line.fields;
    result["lines"].append(std::move(lineObject));
  }
  for (const auto& note : aTrace.clockNotes) {
    result["clockNotes"].append(note);
  }
  std::cout << Json::writeString(Json::StreamWriterBuilder(), result) << "\n";
}

} // namespace

int
runTrace(const CommandLine& aCommandLine)
{
  if (aCommandLine.arguments.size() < 2) {
    std::cerr << "usage: lacewingctl trace FLOW|CALLER FILE... [--json]\n";
    return kUsageError;
  }
  Telemetry::FlowTraceReader reader(aCommandLine.arguments.front());
  for (std::size_t i = 1; i < aCommandLine.arguments.size(); ++i) {
    std::ifstream stream(aCommandLine.arguments[i]);
    if (!stream) {
      std::cerr << aCommandLine.arguments[i] << ": cannot be read\n";
      return kAccessFailed;
    }
    reader.read(stream);
  }
  const auto trace = reader.flowTrace();
  if (aCommandLine.options.count("json") > 0) {
    printJson(trace);
  } else {
    printText(trace);
  }
  return trace.lines.empty() ? kNegativeResult : kSuccess;
}
