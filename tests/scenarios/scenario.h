#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace Scenarios {

/** A step of a scenario, and its line number in the file. */
struct Step
{
  int line = 0;
  std::vector<std::string> tokens;

  std::string toText() const;
};

/** A list of steps that tests a guarantee of the system. */
struct Scenario
{
  /** Name of the file, or the seed of a random schedule. */
  std::string name;
  std::string guarantee;
  std::vector<Step> steps;

  std::string toText() const;
};

/**
 * Parses the line format of docs/SCENARIOS.md: "#" starts a comment, tokens
 * are separated by blanks, and the line "promise ..." states the guarantee.
 */
absl::StatusOr<Scenario>
parseScenario(const std::string& aFile, const std::string& aText);

} // namespace Scenarios
