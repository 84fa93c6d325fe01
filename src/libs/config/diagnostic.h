#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace Config {

/** One fault in a file that an operator wrote. */
struct Diagnostic
{
  std::string file;
  /** Both start at 1. */
  int line = 1;
  int column = 1;
  /** The place in the file, as in "services[0].classes[1].port". */
  std::string place;
  /** What was expected and what was found. */
  std::string message;

  /** "FILE:LINE:COLUMN: PLACE: MESSAGE". */
  std::string toString() const;
};

using Diagnostics = std::vector<Diagnostic>;

/** All faults as one error, a line each. */
absl::Status
toStatus(const Diagnostics& aDiagnostics);

} // namespace Config
