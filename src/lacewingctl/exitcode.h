#pragma once

/** Exit codes of lacewingctl, as documented in docs/operators/lacewingctl.md.
 */
enum ExitCode : int
{
  kSuccess = 0,
  /** The answer is no: a fault, a difference, a process not ready. */
  kNegative = 1,
  kUsage = 2,
  /** A file or a process could not be read. */
  kUnreadable = 3,
};
