#pragma once

#include "config/diagnostic.h"
#include "config/jsonpath.h"
#include "core/endpoint.h"

#include <absl/container/inlined_vector.h>
#include <json/value.h>

#include <absl/strings/string_view.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Config {

/** The text of one file and its diagnostics. */
class JsonSource
{
public:
  JsonSource(std::string aFile, std::string aText);

  /** Parses JSON with comments. Returns null after a syntax error. */
  Json::Value parse();

  void addError(const Json::Value& aValue,
                const JsonPath& aPath,
                const std::string& aMessage);
  const Diagnostics& errors() const { return mErrors; }
  /** Removes and returns the errors so far. */
  Diagnostics takeErrors() { return std::exchange(mErrors, {}); }

private:
  void addSyntaxErrors(const std::string& aParserMessages);
  Diagnostic diagnosticAt(std::ptrdiff_t aOffset) const;

  std::string mFile;
  std::string mText;
  Diagnostics mErrors;
};

/** The range of an integer, both ends included. */
struct IntegerRange
{
  std::int64_t minimum;
  std::int64_t maximum;
};

/**
 * Reads one JSON object strictly. A value of the wrong type or out of range is
 * recorded as an error in the JsonSource; the value returned then is a
 * placeholder and must not be used. finish() records an error for each key that
 * was not read.
 */
class ObjectReader
{
public:
  ObjectReader(JsonSource& aSource, const Json::Value& aValue, JsonPath aPath);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;

  std::string string(const char* aKey);
  std::string stringOr(const char* aKey, const std::string& aDefault);
  /** Reads a string that must be one of aChoices; an error lists them all. */
  std::string choice(const char* aKey,
                     const std::vector<std::string>& aChoices,
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
  /** The array under aKey; empty if it is missing or of another type. */
  const Json::Value& array(const char* aKey, bool aRequired = true);
  /** The object under aKey; empty if it is missing or of another type. */
  const Json::Value& object(const char* aKey, bool aRequired = true);

  bool has(const char* aKey) const;
  /** Paths of members and elements. This reader must outlive them. */
  JsonPath path(const char* aKey) const { return mPath.member(aKey); }
  JsonPath path(const char* aKey, std::size_t aIndex) const
  {
    return mPath.element(aKey, aIndex);
  }
  void addError(const char* aKey, const std::string& aMessage);
  /** Records an error for each key that was not read. */
  void finish();

private:
  const Json::Value* find(const char* aKey, bool aRequired);

  JsonSource& mSource;
  const Json::Value& mValue;
  JsonPath mPath;
  /** Keys that the caller has tried to read. */
  absl::InlinedVector<const char*, 16> mExpectedKeys;
  /** Number of keys in mExpectedKeys that the object has. */
  std::size_t mFoundKeyCount = 0;
};

} // namespace Config
