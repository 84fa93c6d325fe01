#include "telemetry/flowtrace.h"

#include "telemetry/eventcatalogue.h"

#include <absl/strings/str_cat.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace Telemetry {

namespace {

/** True for a member that every line has, false for a field of the event. */
bool
isCommonMember(const std::string& aName)
{
  return aName == "time" || aName == "process" || aName == "number" ||
         aName == "event";
}

/** Strings without quotes, other values as JSON. */
std::string
textOf(const Json::Value& aValue)
{
  if (aValue.isString()) {
    return aValue.asString();
  }
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool
parseLine(const std::string& aLine, Json::Value& aObject)
{
  const auto begin = aLine.find('{');
  if (begin == std::string::npos) {
    return false;
  }
  static const Json::CharReaderBuilder sBuilder;
  const std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  try {
    return reader->parse(aLine.data() + begin,
                         aLine.data() + aLine.size(),
                         &aObject,
                         nullptr) &&
           aObject.isObject() && aObject["event"].isString();
  } catch (const Json::Exception&) {
    // The reader throws if values are nested too deeply.
    return false;
  }
}

TraceLine
toTraceLine(const Json::Value& aObject)
{
  TraceLine line;
  const auto& time = aObject["time"];
  const auto& number = aObject["number"];
  line.time = time.isInt64() ? time.asInt64() : 0;
  line.process = textOf(aObject["process"]);
  line.number = number.isInt() ? number.asInt() : 0;
  line.event = aObject["event"].asString();
  for (const auto& name : aObject.getMemberNames()) {
    if (!isCommonMember(name)) {
      absl::StrAppend(&line.fields,
                      line.fields.empty() ? "" : " ",
                      name,
                      "=",
                      textOf(aObject[name]));
    }
  }
  return line;
}

/**
 * Finds clocks that are behind: an agent cannot admit a flow before a balancer
 * placed it.
 */
std::vector<std::string>
findClockSkew(const std::vector<TraceLine>& aLines)
{
  constexpr int kPlaced = static_cast<int>(Event::FlowPlaced);
  constexpr int kAdmitted = static_cast<int>(Event::FlowAdmitted);
  std::vector<std::string> notes;
  const auto placed =
    std::find_if(aLines.begin(), aLines.end(), [](const auto& aLine) {
      return aLine.number == kPlaced;
    });
  if (placed == aLines.end()) {
    return notes;
  }
  for (auto it = aLines.begin(); it != placed; ++it) {
    if (it->number == kAdmitted) {
      notes.push_back(absl::StrCat("the clock of ",
                                   it->process,
                                   " is at least ",
                                   placed->time - it->time,
                                   " ms behind that of ",
                                   placed->process));
    }
  }
  return notes;
}

} // namespace

FlowTraceReader::FlowTraceReader(std::string aFlow)
  : mFlow(std::move(aFlow))
{
}

void
FlowTraceReader::read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    Json::Value object;
    if (!parseLine(text, object)) {
      ++mTrace.unreadableLines;
      continue;
    }
    if (textOf(object["flow"]) == mFlow || textOf(object["caller"]) == mFlow) {
      mTrace.lines.push_back(toTraceLine(object));
    }
  }
}

FlowTrace
FlowTraceReader::flowTrace() const
{
  auto trace = mTrace;
  std::stable_sort(trace.lines.begin(),
                   trace.lines.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.time < aRight.time;
                   });
  trace.clockNotes = findClockSkew(trace.lines);
  return trace;
}

} // namespace Telemetry
