#include "config/diagnostic.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace Config {

std::string
Diagnostic::toString() const
{
  const auto position = absl::StrCat(file, ":", line, ":", column, ": ");
  if (path.empty()) {
    return absl::StrCat(position, message);
  }
  return absl::StrCat(position, path, ": ", message);
}

absl::Status
toStatus(const Diagnostics& aDiagnostics)
{
  if (aDiagnostics.empty()) {
    return absl::OkStatus();
  }
  const auto append = [](std::string* aText, const Diagnostic& aDiagnostic) {
    absl::StrAppend(aText, aDiagnostic.toString());
  };
  return absl::InvalidArgumentError(absl::StrJoin(aDiagnostics, "\n", append));
}

} // namespace Config
