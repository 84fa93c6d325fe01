#pragma once

#include "config/diagnostic.h"
#include "config/document.h"

#include <string>
#include <variant>

namespace Config {

/** A document, or all errors found in its text. */
using DocumentResult = std::variant<Document, Diagnostics>;

/**
 * Parses and validates a configuration document (JSON with comments). aFile is
 * the file name in diagnostics. No part of a document with an error is used.
 */
DocumentResult
parseDocument(const std::string& aFile, const std::string& aText);

/** As parseDocument(), with all errors combined into one status. */
absl::StatusOr<Document>
parseDocumentOrStatus(const std::string& aFile, const std::string& aText);

} // namespace Config
