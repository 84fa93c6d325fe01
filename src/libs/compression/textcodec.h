#pragma once

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <string>

namespace Compression {

/**
 * Compresses aText with Zstandard. With a base, the result is a delta: text
 * that the base contains takes almost no space.
 */
absl::StatusOr<std::string>
compressText(absl::string_view aText, absl::string_view aBase = {});

/** Decompresses aData; aBase must be the base of its compression. */
absl::StatusOr<std::string>
decompressText(absl::string_view aData, absl::string_view aBase = {});

/** True if aData starts with the magic number of Zstandard. */
bool
isCompressed(absl::string_view aData);

/** Decompresses a published value if it is compressed. */
absl::StatusOr<std::string>
decompressIfNeeded(const std::string& aValue);

} // namespace Compression
