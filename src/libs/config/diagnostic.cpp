#include "config/diagnostic.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Config {

std::string
Diagnostic::toString() const
{
  const auto where = absl::StrCat(file, ":", line, ":", column, ": ");
  if (place.empty()) {
    return absl::StrCat(where, message);
  }
  return absl::StrCat(where, place, ": ", message);
}

absl::Status
toStatus(const Diagnostics& aDiagnostics)
{
  if (aDiagnostics.empty()) {
    return absl::OkStatus();
  }
  const auto append = [](std::string* aOut, const Diagnostic& aEntry) {
    absl::StrAppend(aOut, aEntry.toString());
  };
  return absl::InvalidArgumentError(absl::StrJoin(aDiagnostics, "\n", append));
}

} // namespace Config
