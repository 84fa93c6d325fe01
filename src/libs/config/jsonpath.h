#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace Config {

/**
 * Path of a value in a JSON text, as in "services[0].classes[1].port". It
 * refers to its parent, which must outlive it, and builds the text only in
 * toString(), so that paths are cheap while there is no error.
 */
class JsonPath
{
public:
  /** The root value. */
  JsonPath() = default;

  JsonPath member(const char* aKey) const;
  JsonPath element(const char* aKey, std::size_t aIndex) const;

  std::string toString() const;

private:
  const JsonPath* mParent = nullptr;
  const char* mKey = nullptr;
  std::optional<std::size_t> mIndex;
};

} // namespace Config
