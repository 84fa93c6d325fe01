#pragma once

#include "core/filedescriptor.h"

#include <absl/status/statusor.h>

namespace Core {

/** Wakes a task that waits for descriptors. Any thread may call wake(). */
class WakeUp
{
public:
  /** Fails when the system gives no event descriptor. */
  static absl::StatusOr<WakeUp> create();

  void wake() const;
  /** Must be called after the descriptor became readable. */
  void clear() const;
  int descriptor() const { return mDescriptor.value(); }

private:
  explicit WakeUp(FileDescriptor aDescriptor);

  FileDescriptor mDescriptor;
};

} // namespace Core
