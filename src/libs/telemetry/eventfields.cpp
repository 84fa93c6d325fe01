#include "telemetry/eventfields.h"

#include <absl/strings/str_cat.h>
#include <json/writer.h>

namespace Telemetry {

EventFields&
EventFields::add(absl::string_view aName, absl::string_view aText)
{
  mFields.push_back({ std::string(aName), std::string(aText), false });
  return *this;
}

EventFields&
EventFields::add(absl::string_view aName, std::uint64_t aNumber)
{
  mFields.push_back({ std::string(aName), absl::StrCat(aNumber), true });
  return *this;
}

EventFields&
EventFields::add(absl::string_view aName, std::chrono::milliseconds aTime)
{
  mFields.push_back({ std::string(aName), absl::StrCat(aTime.count()), true });
  return *this;
}

EventFields&
EventFields::flow(std::uint64_t aFlowHash)
{
  return add("flow", absl::StrCat(absl::Hex(aFlowHash, absl::kZeroPad16)));
}

std::string
EventFields::toJsonMembers() const
{
  std::string members;
  for (const auto& field : mFields) {
    absl::StrAppend(&members,
                    ",\"",
                    field.name,
                    "\":",
                    field.isNumber
                      ? field.text
                      : Json::valueToQuotedString(field.text.c_str()));
  }
  return members;
}

std::string
EventFields::toText() const
{
  std::string text;
  for (const auto& field : mFields) {
    absl::StrAppend(
      &text, text.empty() ? "" : " ", field.name, "=", field.text);
  }
  return text;
}

} // namespace Telemetry
