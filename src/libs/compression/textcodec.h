#pragma once

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <string>

namespace Compression {

/**
 * Compresses aText with Zstandard. With a base, what the base holds already
 * costs next to nothing, so that the result is the difference of the two.
 */
absl::StatusOr<std::string>
compressText(absl::string_view aText, absl::string_view aBase = {});

/** The text again; the base must be the one it was compressed with. */
absl::StatusOr<std::string>
decompressText(absl::string_view aData, absl::string_view aBase = {});

/** True for a text in its compressed form, by its first four bytes. */
bool
isCompressed(absl::string_view aData);

/** A published value as text, whether it is compressed or not. */
absl::StatusOr<std::string>
plainText(const std::string& aValue);

} // namespace Compression
