#pragma once

#include <absl/status/status.h>

#include <absl/strings/string_view.h>

namespace Core {

/**
 * Adds the step that failed and the peer it was done with to an error.
 * An OK status is returned as it is.
 */
absl::Status
withContext(const absl::Status& aStatus,
            absl::string_view aStep,
            absl::string_view aPeer);

/** The error of the last failed system call, with its step and peer. */
absl::Status
lastSystemError(absl::string_view aStep, absl::string_view aPeer);

} // namespace Core
