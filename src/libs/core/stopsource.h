#pragma once

#include "core/filedescriptor.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <chrono>
#include <memory>

namespace Core {

/**
 * Requests every thread of a process to stop. The descriptor becomes readable
 * on a stop request, so that a thread can poll it together with its sockets.
 */
class StopSource
{
public:
  /** Fails if the system cannot create an event descriptor. */
  static absl::StatusOr<std::unique_ptr<StopSource>> create();

  void requestStop();
  bool isStopRequested() const { return mStopRequested; }
  int descriptor() const { return mDescriptor.value(); }

  /** Sleeps for aDuration; returns false at once if a stop is requested. */
  bool sleepFor(std::chrono::milliseconds aDuration) const;

private:
  explicit StopSource(FileDescriptor aDescriptor);

  FileDescriptor mDescriptor;
  std::atomic<bool> mStopRequested = false;
};

} // namespace Core
