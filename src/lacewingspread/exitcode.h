#pragma once

/** Exit codes, as documented in docs/operators/settings.md. */
enum ExitCode : int
{
  kSuccess = 0,
  kFailure = 1,
  kUsageError = 2,
  kBadSettings = 3,
};
