#include "config/jsonpath.h"

#include <absl/strings/str_cat.h>

namespace Config {

JsonPath
JsonPath::member(const char* aKey) const
{
  JsonPath path;
  path.mParent = this;
  path.mKey = aKey;
  return path;
}

JsonPath
JsonPath::element(const char* aKey, std::size_t aIndex) const
{
  auto path = member(aKey);
  path.mIndex = aIndex;
  return path;
}

std::string
JsonPath::toString() const
{
  if (mParent == nullptr) {
    return "";
  }
  const auto parent = mParent->toString();
  auto text =
    parent.empty() ? std::string(mKey) : absl::StrCat(parent, ".", mKey);
  if (mIndex) {
    absl::StrAppend(&text, "[", *mIndex, "]");
  }
  return text;
}

} // namespace Config
