#include "telemetry/flowstory.h"

#include "telemetry/eventcatalogue.h"

#include <absl/strings/str_cat.h>
#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace Telemetry {

namespace {

/** Members that each line has; the rest are the event's own. */
bool
isCommonMember(const std::string& aName)
{
  return aName == "time" || aName == "process" || aName == "number" ||
         aName == "event";
}

bool
parseLine(const std::string& aLine, Json::Value& aValue)
{
  const auto begin = aLine.find('{');
  if (begin == std::string::npos) {
    return false;
  }
  static const Json::CharReaderBuilder sBuilder;
  const std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  return reader->parse(aLine.data() + begin,
                       aLine.data() + aLine.size(),
                       &aValue,
                       nullptr) &&
         aValue.isObject() && aValue["event"].isString();
}

StoryLine
storyLineOf(const Json::Value& aValue)
{
  StoryLine line;
  line.time = aValue["time"].asInt64();
  line.process = aValue["process"].asString();
  line.number = aValue["number"].asInt();
  line.event = aValue["event"].asString();
  for (const auto& name : aValue.getMemberNames()) {
    if (!isCommonMember(name)) {
      absl::StrAppend(&line.fields,
                      line.fields.empty() ? "" : " ",
                      name,
                      "=",
                      aValue[name].asString());
    }
  }
  return line;
}

/** An agent cannot admit a flow before a balancer placed it. */
std::vector<std::string>
clockNotesOf(const std::vector<StoryLine>& aLines)
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

FlowStoryReader::FlowStoryReader(std::string aFlow)
  : mFlow(std::move(aFlow))
{
}

void
FlowStoryReader::read(std::istream& aLog)
{
  std::string text;
  while (std::getline(aLog, text)) {
    Json::Value value;
    if (!parseLine(text, value)) {
      ++mStory.unreadableLines;
      continue;
    }
    if (value["flow"].asString() == mFlow ||
        value["caller"].asString() == mFlow) {
      mStory.lines.push_back(storyLineOf(value));
    }
  }
}

FlowStory
FlowStoryReader::story() const
{
  auto story = mStory;
  std::stable_sort(story.lines.begin(),
                   story.lines.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.time < aRight.time;
                   });
  story.clockNotes = clockNotesOf(story.lines);
  return story;
}

} // namespace Telemetry
