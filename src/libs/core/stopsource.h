#pragma once

#include "core/filedescriptor.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <chrono>
#include <memory>

namespace Core {

/**
 * Tells every task of a process to stop. The descriptor becomes readable, so
 * that a task may wait for it together with its sockets.
 */
class StopSource
{
public:
  /** Fails when the system gives no event descriptor. */
  static absl::StatusOr<std::unique_ptr<StopSource>> create();

  void requestStop();
  bool isStopRequested() const { return mStopRequested; }
  int descriptor() const { return mDescriptor.value(); }

  /** Sleeps; returns false when the stop came first. */
  bool sleepFor(std::chrono::milliseconds aTime) const;

private:
  explicit StopSource(FileDescriptor aDescriptor);

  FileDescriptor mDescriptor;
  std::atomic<bool> mStopRequested = false;
};

} // namespace Core
