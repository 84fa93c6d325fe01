#pragma once

#include "core/filedescriptor.h"

#include <absl/status/statusor.h>

namespace Core {

/** Wakes a thread that polls descriptors. Any thread may call wake(). */
class WakeUp
{
public:
  /** Fails if the system cannot create an event descriptor. */
  static absl::StatusOr<WakeUp> create();

  void wake() const;
  /** Resets the descriptor. Must be called when it has become readable. */
  void clear() const;
  int descriptor() const { return mDescriptor.value(); }

private:
  explicit WakeUp(FileDescriptor aDescriptor);

  FileDescriptor mDescriptor;
};

} // namespace Core
