#pragma once

#include <absl/status/statusor.h>

#include <string>

/** The whole text of a file; errors name it. */
absl::StatusOr<std::string>
readTextFile(const std::string& aPath);
