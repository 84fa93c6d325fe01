#include "core/wakeup.h"

#include "core/errorcontext.h"

#include <sys/eventfd.h>

#include <utility>

namespace Core {

absl::StatusOr<WakeUp>
WakeUp::create()
{
  FileDescriptor descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!descriptor.isValid()) {
    return lastSystemError("create a wake-up descriptor", "kernel");
  }
  return WakeUp(std::move(descriptor));
}

WakeUp::WakeUp(FileDescriptor aDescriptor)
  : mDescriptor(std::move(aDescriptor))
{
}

void
WakeUp::wake() const
{
  // Fails only if a wake-up is already pending.
  static_cast<void>(eventfd_write(mDescriptor.value(), 1));
}

void
WakeUp::clear() const
{
  eventfd_t count = 0;
  // Fails only if the descriptor was already cleared.
  static_cast<void>(eventfd_read(mDescriptor.value(), &count));
}

} // namespace Core
