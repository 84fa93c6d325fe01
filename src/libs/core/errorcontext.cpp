#include "core/errorcontext.h"

#include <absl/strings/str_cat.h>

#include <cerrno>

namespace Core {

absl::Status
withContext(const absl::Status& aStatus,
            absl::string_view aStep,
            absl::string_view aPeer)
{
  if (aStatus.ok()) {
    return aStatus;
  }
  return absl::Status(
    aStatus.code(),
    absl::StrCat(aStep, " (peer ", aPeer, "): ", aStatus.message()));
}

absl::Status
lastSystemError(absl::string_view aStep, absl::string_view aPeer)
{
  return withContext(absl::ErrnoToStatus(errno, "system call"), aStep, aPeer);
}

} // namespace Core
