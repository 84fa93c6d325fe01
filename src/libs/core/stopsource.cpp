#include "core/stopsource.h"

#include "core/errorcontext.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace Core {

absl::StatusOr<std::unique_ptr<StopSource>>
StopSource::create()
{
  FileDescriptor descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!descriptor.isValid()) {
    return lastSystemError("create the stop event descriptor", "kernel");
  }
  return std::unique_ptr<StopSource>(new StopSource(std::move(descriptor)));
}

StopSource::StopSource(FileDescriptor aDescriptor)
  : mDescriptor(std::move(aDescriptor))
{
}

void
StopSource::requestStop()
{
  mStopRequested = true;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = write(mDescriptor.value(), &one, sizeof(one));
}

bool
StopSource::sleepFor(std::chrono::milliseconds aDuration) const
{
  pollfd pollEntry{ descriptor(), POLLIN, 0 };
  poll(&pollEntry, 1, static_cast<int>(aDuration.count()));
  return !mStopRequested;
}

} // namespace Core
