#pragma once

#include <absl/status/statusor.h>

#include <absl/strings/string_view.h>
#include <string>

namespace Config {

/**
 * The text of a document after the evacuation of a zone, under the next
 * revision. The rest of the text, with its comments, is unchanged. Fails with
 * InvalidArgument if the document has errors, with NotFound if no region
 * declares the zone, and with FailedPrecondition if it is evacuated already.
 * aFile is the name of the document in errors.
 */
absl::StatusOr<std::string>
evacuateZone(const std::string& aFile,
             const std::string& aText,
             absl::string_view aZone);

/**
 * The text of a document with a zone taken back into service, under the next
 * revision. Fails like evacuateZone(), with FailedPrecondition if the zone is
 * not evacuated.
 */
absl::StatusOr<std::string>
returnZone(const std::string& aFile,
           const std::string& aText,
           absl::string_view aZone);

} // namespace Config
