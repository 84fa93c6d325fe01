#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace Scenarios {

/** One line of a scenario: its words and where it stands. */
struct Step
{
  int line = 0;
  std::vector<std::string> words;

  std::string toText() const;
};

/** A scenario: the promise that it is for, and its steps in order. */
struct Scenario
{
  std::string file;
  std::string promise;
  std::vector<Step> steps;

  std::string toText() const;
};

/**
 * Reads the line format of docs/SCENARIOS.md: "#" starts a comment, the first
 * step is "promise", and words are separated by blanks.
 */
absl::StatusOr<Scenario>
parseScenario(const std::string& aFile, const std::string& aText);

} // namespace Scenarios
