#pragma once

#include <absl/status/statusor.h>

#include <string>

/** The whole text of a file, unpacked when it is packed; errors name it. */
absl::StatusOr<std::string>
readTextFile(const std::string& aPath);
