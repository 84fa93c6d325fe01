#pragma once

#include "config/diagnostic.h"
#include "config/document.h"

#include <string>
#include <variant>

namespace Config {

/** A document, or every fault found in its text. */
using DocumentResult = std::variant<Document, Diagnostics>;

/**
 * Reads and checks a document (JSON with comments). aFile is named in the
 * faults. Nothing of a text with a fault is used.
 */
DocumentResult
parseDocument(const std::string& aFile, const std::string& aText);

/** The same for callers that need one error. */
absl::StatusOr<Document>
parseDocumentOrStatus(const std::string& aFile, const std::string& aText);

} // namespace Config
