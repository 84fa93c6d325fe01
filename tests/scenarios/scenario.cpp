#include "scenario.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

namespace Scenarios {

std::string
Step::toText() const
{
  return absl::StrJoin(tokens, " ");
}

std::string
Scenario::toText() const
{
  auto text = absl::StrCat("promise ", guarantee, "\n");
  for (const auto& it : steps) {
    absl::StrAppend(&text, it.toText(), "\n");
  }
  return text;
}

absl::StatusOr<Scenario>
parseScenario(const std::string& aFile, const std::string& aText)
{
  Scenario scenario;
  scenario.name = aFile;
  int lineNumber = 0;
  for (const auto line : absl::StrSplit(aText, '\n')) {
    ++lineNumber;
    const std::string lineWithoutComment(line.substr(0, line.find('#')));
    Step step{ lineNumber,
               absl::StrSplit(
                 lineWithoutComment, ' ', absl::SkipWhitespace()) };
    if (step.tokens.empty()) {
      continue;
    }
    if (step.tokens.front() == "promise") {
      step.tokens.erase(step.tokens.begin());
      scenario.guarantee = step.toText();
      continue;
    }
    scenario.steps.push_back(std::move(step));
  }
  if (scenario.guarantee.empty()) {
    return absl::InvalidArgumentError(
      absl::StrCat(aFile, ": the promise line is missing"));
  }
  return scenario;
}

} // namespace Scenarios
