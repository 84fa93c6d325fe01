#pragma once

#include "config/document.h"

#include <absl/status/statusor.h>

#include <string>

/** The whole text of a file, unpacked when it is packed; errors name it. */
absl::StatusOr<std::string>
readTextFile(const std::string& aPath);

/** A document and the plain text that it was read from. */
struct DocumentFile
{
  std::string text;
  Config::Document document;
};

/** NotFound and DataLoss for the file, InvalidArgument with all faults. */
absl::StatusOr<DocumentFile>
readDocumentFile(const std::string& aPath);

/** Prints why a file could not be used; returns the exit code for it. */
int
reportUnusable(const absl::Status& aStatus);
