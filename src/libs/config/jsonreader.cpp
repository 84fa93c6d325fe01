#include "config/jsonreader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <json/reader.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace Config {

namespace {

const Json::Value&
emptyArray()
{
  static const Json::Value sValue(Json::arrayValue);
  return sValue;
}

const Json::Value&
emptyObject()
{
  static const Json::Value sValue(Json::objectValue);
  return sValue;
}

const char*
typeName(const Json::Value& aValue)
{
  switch (aValue.type()) {
    case Json::nullValue:
      return "null";
    case Json::booleanValue:
      return "a boolean";
    case Json::stringValue:
      return "a string";
    case Json::arrayValue:
      return "an array";
    case Json::objectValue:
      return "an object";
    default:
      return "a number";
  }
}

std::string
expectedMessage(const char* aWhat, const Json::Value& aValue)
{
  return absl::StrCat("expected ", aWhat, ", found ", typeName(aValue));
}

} // namespace

JsonSource::JsonSource(std::string aFile, std::string aText)
  : mFile(std::move(aFile))
  , mText(std::move(aText))
{
}

Json::Value
JsonSource::parse()
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = true;
  builder["collectComments"] = false;
  builder["strictRoot"] = false;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value root;
  std::string parserMessages;
  try {
    if (reader->parse(
          mText.data(), mText.data() + mText.size(), &root, &parserMessages)) {
      return root;
    }
    addSyntaxErrors(parserMessages);
  } catch (const Json::Exception& error) {
    // The reader throws if values are nested too deeply.
    mErrors.push_back({ mFile, 1, 1, "", error.what() });
  }
  return {};
}

void
JsonSource::addSyntaxErrors(const std::string& aParserMessages)
{
  // The reader prints "* Line 3, Column 5" and then the reason.
  for (const auto parserMessage : absl::StrSplit(aParserMessages, "* Line ")) {
    Diagnostic diagnostic;
    const std::vector<std::string> lines =
      absl::StrSplit(parserMessage, '\n', absl::SkipWhitespace());
    if (lines.size() < 2) {
      continue;
    }
    const std::vector<std::string> lineAndColumn =
      absl::StrSplit(lines[0], ", Column ");
    diagnostic.file = mFile;
    if (lineAndColumn.size() != 2 ||
        !absl::SimpleAtoi(lineAndColumn[0], &diagnostic.line) ||
        !absl::SimpleAtoi(lineAndColumn[1], &diagnostic.column)) {
      diagnostic.line = 1;
      diagnostic.column = 1;
    }
    diagnostic.message = std::string(absl::StripAsciiWhitespace(lines[1]));
    mErrors.push_back(std::move(diagnostic));
  }
  if (mErrors.empty()) {
    mErrors.push_back({ mFile, 1, 1, "", "invalid JSON" });
  }
}

void
JsonSource::addError(const Json::Value& aValue,
                     const JsonPath& aPath,
                     const std::string& aMessage)
{
  auto diagnostic = diagnosticAt(aValue.getOffsetStart());
  diagnostic.path = aPath.toString();
  diagnostic.message = aMessage;
  mErrors.push_back(std::move(diagnostic));
}

Diagnostic
JsonSource::diagnosticAt(std::ptrdiff_t aOffset) const
{
  const auto end = std::min<std::size_t>(aOffset, mText.size());
  const absl::string_view before = absl::string_view(mText).substr(0, end);
  const auto lineStart = before.rfind('\n');
  const auto column =
    lineStart == absl::string_view::npos ? end : end - lineStart - 1;
  Diagnostic diagnostic;
  diagnostic.file = mFile;
  diagnostic.line =
    1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
  diagnostic.column = 1 + static_cast<int>(column);
  return diagnostic;
}

ObjectReader::ObjectReader(JsonSource& aSource,
                           const Json::Value& aValue,
                           JsonPath aPath)
  : mSource(aSource)
  , mValue(aValue.isObject() ? aValue : emptyObject())
  , mPath(aPath)
{
  if (!aValue.isObject()) {
    aSource.addError(aValue, mPath, expectedMessage("an object", aValue));
  }
}

bool
ObjectReader::has(const char* aKey) const
{
  return mValue.isMember(aKey);
}

const Json::Value*
ObjectReader::find(const char* aKey, bool aRequired)
{
  const auto* value = mValue.find(aKey, aKey + std::strlen(aKey));
  const auto isSameKey = [aKey](const char* aExpectedKey) {
    return std::strcmp(aExpectedKey, aKey) == 0;
  };
  if (std::none_of(mExpectedKeys.begin(), mExpectedKeys.end(), isSameKey)) {
    mExpectedKeys.push_back(aKey);
    mFoundKeyCount += value == nullptr ? 0 : 1;
  }
  if (value == nullptr && aRequired && &mValue != &emptyObject()) {
    mSource.addError(mValue, path(aKey), "this key is missing");
  }
  return value;
}

void
ObjectReader::addError(const char* aKey, const std::string& aMessage)
{
  const auto& value = has(aKey) ? mValue[aKey] : mValue;
  mSource.addError(value, path(aKey), aMessage);
}

std::string
ObjectReader::string(const char* aKey)
{
  const auto* value = find(aKey, true);
  if (value == nullptr) {
    return {};
  }
  auto text = value->isString() ? value->asString() : std::string();
  if (text.empty()) {
    addError(aKey, expectedMessage("a non-empty string", *value));
  }
  return text;
}

std::string
ObjectReader::stringOr(const char* aKey, const std::string& aDefault)
{
  if (find(aKey, false) == nullptr) {
    return aDefault;
  }
  return string(aKey);
}

std::string
ObjectReader::choice(const char* aKey,
                     const std::vector<std::string>& aChoices,
                     const std::optional<std::string>& aDefault)
{
  const auto* value = find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(aChoices.front());
  }
  const bool isKnown =
    value->isString() &&
    std::find(aChoices.begin(), aChoices.end(), value->asString()) !=
      aChoices.end();
  if (!isKnown) {
    addError(aKey,
             absl::StrCat("expected one of ", absl::StrJoin(aChoices, ", ")));
    return aChoices.front();
  }
  return value->asString();
}

std::int64_t
ObjectReader::integer(const char* aKey, IntegerRange aRange)
{
  const auto* value = find(aKey, true);
  if (value == nullptr) {
    return aRange.minimum;
  }
  const bool isIntegerType =
    value->type() == Json::intValue || value->type() == Json::uintValue;
  if (!isIntegerType || !value->isInt64()) {
    addError(aKey, expectedMessage("an integer", *value));
    return aRange.minimum;
  }
  const auto result = value->asInt64();
  if (result < aRange.minimum || result > aRange.maximum) {
    addError(aKey,
             absl::StrCat("expected an integer from ",
                          aRange.minimum,
                          " to ",
                          aRange.maximum,
                          ", found ",
                          result));
    return aRange.minimum;
  }
  return result;
}

std::int64_t
ObjectReader::integerOr(const char* aKey,
                        IntegerRange aRange,
                        std::int64_t aDefault)
{
  if (find(aKey, false) == nullptr) {
    return aDefault;
  }
  return integer(aKey, aRange);
}

std::chrono::milliseconds
ObjectReader::millisecondsOr(const char* aKey,
                             IntegerRange aRange,
                             std::chrono::milliseconds aDefault)
{
  return std::chrono::milliseconds(integerOr(aKey, aRange, aDefault.count()));
}

bool
ObjectReader::boolean(const char* aKey)
{
  const auto* value = find(aKey, true);
  if (value == nullptr) {
    return false;
  }
  if (!value->isBool()) {
    addError(aKey, expectedMessage("true or false", *value));
    return false;
  }
  return value->asBool();
}

bool
ObjectReader::booleanOr(const char* aKey, bool aDefault)
{
  if (find(aKey, false) == nullptr) {
    return aDefault;
  }
  return boolean(aKey);
}

std::uint32_t
ObjectReader::address(const char* aKey)
{
  const auto text = string(aKey);
  if (text.empty()) {
    return 0;
  }
  const auto value = Core::parseAddress(text);
  if (!value.ok()) {
    addError(aKey, std::string(value.status().message()));
    return 0;
  }
  return *value;
}

Core::Endpoint
ObjectReader::endpoint(const char* aKey)
{
  const auto text = string(aKey);
  if (text.empty()) {
    return {};
  }
  const auto value = Core::parseEndpoint(text);
  if (!value.ok()) {
    addError(aKey, std::string(value.status().message()));
    return {};
  }
  return *value;
}

const Json::Value&
ObjectReader::array(const char* aKey, bool aRequired)
{
  const auto* value = find(aKey, aRequired);
  if (value == nullptr) {
    return emptyArray();
  }
  if (!value->isArray()) {
    addError(aKey, expectedMessage("an array", *value));
    return emptyArray();
  }
  return *value;
}

const Json::Value&
ObjectReader::object(const char* aKey, bool aRequired)
{
  const auto* value = find(aKey, aRequired);
  if (value == nullptr) {
    return emptyObject();
  }
  if (!value->isObject()) {
    addError(aKey, expectedMessage("an object", *value));
    return emptyObject();
  }
  return *value;
}

void
ObjectReader::finish()
{
  if (mFoundKeyCount == mValue.size()) {
    return;
  }
  auto expectedKeys = mExpectedKeys;
  std::sort(expectedKeys.begin(),
            expectedKeys.end(),
            [](const char* aFirst, const char* aSecond) {
              return std::strcmp(aFirst, aSecond) < 0;
            });
  for (const auto& key : mValue.getMemberNames()) {
    const auto isSameKey = [&key](const char* aExpectedKey) {
      return key == aExpectedKey;
    };
    if (std::none_of(expectedKeys.begin(), expectedKeys.end(), isSameKey)) {
      mSource.addError(mValue[key],
                       path(key.c_str()),
                       absl::StrCat("unknown key; expected one of ",
                                    absl::StrJoin(expectedKeys, ", ")));
    }
  }
}

} // namespace Config
