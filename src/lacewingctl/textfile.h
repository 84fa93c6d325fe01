#pragma once

#include "config/document.h"

#include <absl/status/statusor.h>

#include <string>

/**
 * Reads a file and decompresses it if it is compressed. An error names the
 * file.
 */
absl::StatusOr<std::string>
readTextFile(const std::string& aPath);

/** A document and the text that it was parsed from, decompressed. */
struct DocumentFile
{
  std::string text;
  Config::Document document;
};

/**
 * Reads and parses a document. Fails with NotFound or DataLoss if the file
 * cannot be read, with InvalidArgument and all errors if it is not valid.
 */
absl::StatusOr<DocumentFile>
readDocumentFile(const std::string& aPath);

/**
 * Prints an error and returns its exit code. The errors in an invalid document
 * are a result of the command and go to the standard output.
 */
int
reportReadError(const absl::Status& aStatus);
