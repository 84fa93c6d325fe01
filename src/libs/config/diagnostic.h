#pragma once

#include <absl/status/status.h>

#include <string>
#include <vector>

namespace Config {

/** An error in a file that an operator wrote. */
struct Diagnostic
{
  std::string file;
  /** Both start at 1. */
  int line = 1;
  int column = 1;
  /** Path of the JSON value, as in "services[0].classes[1].port". */
  std::string path;
  /** The expected and the actual value. */
  std::string message;

  /** "FILE:LINE:COLUMN: PATH: MESSAGE". */
  std::string toString() const;
};

using Diagnostics = std::vector<Diagnostic>;

/** Combines all errors into one status, with a line for each. */
absl::Status
toStatus(const Diagnostics& aDiagnostics);

} // namespace Config
