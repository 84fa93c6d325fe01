#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace Config {

/**
 * A place in a JSON text, as in "services[0].classes[1].port". It refers to
 * the place around it, which must outlive it; the words are made only when
 * somebody asks for them.
 */
class Place
{
public:
  /** The whole text. */
  Place() = default;

  Place member(const char* aKey) const;
  Place element(const char* aKey, std::size_t aIndex) const;

  std::string toString() const;

private:
  const Place* mParent = nullptr;
  const char* mKey = nullptr;
  std::optional<std::size_t> mIndex;
};

} // namespace Config
