#include "textfile.h"

#include "exitcode.h"

#include "compression/textcodec.h"
#include "config/documentparser.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <iostream>
#include <sstream>

absl::StatusOr<std::string>
readTextFile(const std::string& aPath)
{
  const std::ifstream stream(aPath);
  if (!stream) {
    return absl::NotFoundError(absl::StrCat(aPath, ": cannot be read"));
  }
  std::stringstream text;
  text << stream.rdbuf();
  auto decompressed = Compression::decompressIfNeeded(text.str());
  if (!decompressed.ok()) {
    return absl::DataLossError(absl::StrCat(
      aPath, ": cannot be decompressed: ", decompressed.status().message()));
  }
  return decompressed;
}

absl::StatusOr<DocumentFile>
readDocumentFile(const std::string& aPath)
{
  auto text = readTextFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  auto document = Config::parseDocumentOrStatus(aPath, *text);
  if (!document.ok()) {
    return document.status();
  }
  return DocumentFile{ std::move(*text), std::move(*document) };
}

int
reportReadError(const absl::Status& aStatus)
{
  if (absl::IsInvalidArgument(aStatus)) {
    std::cout << aStatus.message() << "\n";
    return kNegativeResult;
  }
  std::cerr << aStatus.message() << "\n";
  return kAccessFailed;
}
