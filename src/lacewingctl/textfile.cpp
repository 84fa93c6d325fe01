#include "textfile.h"

#include "compression/textcodec.h"

#include <absl/strings/str_cat.h>

#include <fstream>
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
  auto plain = Compression::plainText(text.str());
  if (!plain.ok()) {
    return absl::DataLossError(
      absl::StrCat(aPath, ": cannot be unpacked: ", plain.status().message()));
  }
  return plain;
}
