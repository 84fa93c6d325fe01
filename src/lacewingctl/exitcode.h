#pragma once

/** Exit codes, as documented in docs/operators/lacewingctl.md. */
enum ExitCode : int
{
  kSuccess = 0,
  /** A file has errors, the documents differ, or nothing was found. */
  kNegativeResult = 1,
  kUsageError = 2,
  /** A file or a process cannot be read, or a file cannot be written. */
  kAccessFailed = 3,
};
