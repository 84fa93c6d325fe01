#pragma once

#include "config/diagnostic.h"
#include "config/place.h"
#include "core/endpoint.h"

#include <absl/container/inlined_vector.h>
#include <json/value.h>

#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Config {

/** The text of one file and the faults found in it. */
class JsonSource
{
public:
  JsonSource(std::string aFile, std::string aText);

  /** Parses JSON with comments; a syntax fault is noted and gives null. */
  Json::Value parse();

  void addFault(const Json::Value& aValue,
                const Place& aPlace,
                const std::string& aMessage);
  const Diagnostics& faults() const { return mFaults; }

private:
  void addSyntaxFaults(const std::string& aErrors);
  Diagnostic locate(std::ptrdiff_t aOffset) const;

  std::string mFile;
  std::string mText;
  Diagnostics mFaults;
};

/** The range of an integer, both ends included. */
struct IntegerRange
{
  std::int64_t minimum;
  std::int64_t maximum;
};

/**
 * Reads one JSON object strictly: each read names a key, and finish() notes
 * every key that no read named. A wrong type or range is noted in the source
 * and the value that is given instead must not be used.
 */
class ObjectReader
{
public:
  ObjectReader(JsonSource& aSource, const Json::Value& aValue, Place aPlace);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  std::string string(const char* aKey);
  std::string stringOr(const char* aKey, const std::string& aDefault);
  /** One of a list of words; the fault names them all. */
  std::string word(const char* aKey,
                   const std::vector<std::string>& aWords,
                   const std::optional<std::string>& aDefault = std::nullopt);
  std::int64_t integer(const char* aKey, IntegerRange aRange);
  std::int64_t integerOr(const char* aKey,
                         IntegerRange aRange,
                         std::int64_t aDefault);
  std::chrono::milliseconds millisecondsOr(const char* aKey,
                                           IntegerRange aRange,
                                           std::chrono::milliseconds aDefault);
  bool boolean(const char* aKey);
  bool booleanOr(const char* aKey, bool aDefault);
  std::uint32_t address(const char* aKey);
  Core::Endpoint endpoint(const char* aKey);
  /** The array under aKey; an empty one when it is absent or wrong. */
  const Json::Value& array(const char* aKey, bool aRequired = true);
  /** The object under aKey; an empty one when it is absent or wrong. */
  const Json::Value& object(const char* aKey, bool aRequired = true);

  bool has(const char* aKey) const;
  /** Places of members and elements; they refer to this reader. */
  Place place(const char* aKey) const { return mPlace.member(aKey); }
  Place place(const char* aKey, std::size_t aIndex) const
  {
    return mPlace.element(aKey, aIndex);
  }
  void addFault(const char* aKey, const std::string& aMessage);
  /** Notes the keys that nothing read. */
  void finish();

private:
  const Json::Value* find(const char* aKey, bool aRequired);

  JsonSource& mSource;
  const Json::Value& mValue;
  Place mPlace;
  absl::InlinedVector<const char*, 16> mKnownKeys;
  /** How many of the known keys the object has. */
  std::size_t mFoundKeys = 0;
};

} // namespace Config
