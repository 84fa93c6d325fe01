#pragma once

#include <absl/status/status.h>

#include <absl/strings/string_view.h>

namespace Core {

/**
 * Adds the step that failed and the peer or object involved to an error.
 * Returns an OK status unchanged.
 */
absl::Status
withContext(const absl::Status& aStatus,
            absl::string_view aStep,
            absl::string_view aPeer);

/** The error in errno, with the step that failed and its peer. */
absl::Status
lastSystemError(absl::string_view aStep, absl::string_view aPeer);

} // namespace Core
