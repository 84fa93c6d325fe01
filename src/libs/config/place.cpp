#include "config/place.h"

#include <absl/strings/str_cat.h>

namespace Config {

Place
Place::member(const char* aKey) const
{
  Place place;
  place.mParent = this;
  place.mKey = aKey;
  return place;
}

Place
Place::element(const char* aKey, std::size_t aIndex) const
{
  auto place = member(aKey);
  place.mIndex = aIndex;
  return place;
}

std::string
Place::toString() const
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
