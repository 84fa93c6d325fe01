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
expected(const char* aWhat, const Json::Value& aValue)
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
  std::string errors;
  if (!reader->parse(
        mText.data(), mText.data() + mText.size(), &root, &errors)) {
    addSyntaxFaults(errors);
    return {};
  }
  return root;
}

void
JsonSource::addSyntaxFaults(const std::string& aErrors)
{
  // The reader prints "* Line 3, Column 5" and then the reason.
  for (const auto position : absl::StrSplit(aErrors, "* Line ")) {
    Diagnostic fault;
    const std::vector<std::string> lines =
      absl::StrSplit(position, '\n', absl::SkipWhitespace());
    if (lines.size() < 2) {
      continue;
    }
    const std::vector<std::string> numbers =
      absl::StrSplit(lines[0], ", Column ");
    fault.file = mFile;
    if (numbers.size() != 2 || !absl::SimpleAtoi(numbers[0], &fault.line) ||
        !absl::SimpleAtoi(numbers[1], &fault.column)) {
      fault.line = 1;
      fault.column = 1;
    }
    fault.message = std::string(absl::StripAsciiWhitespace(lines[1]));
    mFaults.push_back(std::move(fault));
  }
  if (mFaults.empty()) {
    mFaults.push_back({ mFile, 1, 1, "", "not JSON" });
  }
}

void
JsonSource::addFault(const Json::Value& aValue,
                     const Place& aPlace,
                     const std::string& aMessage)
{
  auto fault = locate(aValue.getOffsetStart());
  fault.place = aPlace.toString();
  fault.message = aMessage;
  mFaults.push_back(std::move(fault));
}

Diagnostic
JsonSource::locate(std::ptrdiff_t aOffset) const
{
  const auto end = std::min<std::size_t>(aOffset, mText.size());
  const absl::string_view before = absl::string_view(mText).substr(0, end);
  const auto lineStart = before.rfind('\n');
  const auto column =
    lineStart == absl::string_view::npos ? end : end - lineStart - 1;
  Diagnostic fault;
  fault.file = mFile;
  fault.line =
    1 + static_cast<int>(std::count(before.begin(), before.end(), '\n'));
  fault.column = 1 + static_cast<int>(column);
  return fault;
}

ObjectReader::ObjectReader(JsonSource& aSource,
                           const Json::Value& aValue,
                           Place aPlace)
  : mSource(aSource)
  , mValue(aValue.isObject() ? aValue : emptyObject())
  , mPlace(aPlace)
{
  if (!aValue.isObject()) {
    aSource.addFault(aValue, mPlace, expected("an object", aValue));
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
  const auto isSame = [aKey](const char* aKnown) {
    return std::strcmp(aKnown, aKey) == 0;
  };
  if (std::none_of(mKnownKeys.begin(), mKnownKeys.end(), isSame)) {
    mKnownKeys.push_back(aKey);
    mFoundKeys += value == nullptr ? 0 : 1;
  }
  if (value == nullptr && aRequired && &mValue != &emptyObject()) {
    mSource.addFault(mValue, place(aKey), "this key is missing");
  }
  return value;
}

void
ObjectReader::addFault(const char* aKey, const std::string& aMessage)
{
  const auto& value = has(aKey) ? mValue[aKey] : mValue;
  mSource.addFault(value, place(aKey), aMessage);
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
    addFault(aKey, expected("a string that is not empty", *value));
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
ObjectReader::word(const char* aKey,
                   const std::vector<std::string>& aWords,
                   const std::optional<std::string>& aDefault)
{
  const auto* value = find(aKey, !aDefault);
  if (value == nullptr) {
    return aDefault.value_or(aWords.front());
  }
  const bool known =
    value->isString() &&
    std::find(aWords.begin(), aWords.end(), value->asString()) != aWords.end();
  if (!known) {
    addFault(aKey,
             absl::StrCat("expected one of ", absl::StrJoin(aWords, ", ")));
    return aWords.front();
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
  const bool isWritten =
    value->type() == Json::intValue || value->type() == Json::uintValue;
  if (!isWritten || !value->isInt64()) {
    addFault(aKey, expected("an integer", *value));
    return aRange.minimum;
  }
  const auto n = value->asInt64();
  if (n < aRange.minimum || n > aRange.maximum) {
    addFault(aKey,
             absl::StrCat("expected an integer from ",
                          aRange.minimum,
                          " to ",
                          aRange.maximum,
                          ", found ",
                          n));
    return aRange.minimum;
  }
  return n;
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
    addFault(aKey, expected("true or false", *value));
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
    addFault(aKey, std::string(value.status().message()));
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
    addFault(aKey, std::string(value.status().message()));
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
    addFault(aKey, expected("an array", *value));
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
    addFault(aKey, expected("an object", *value));
    return emptyObject();
  }
  return *value;
}

void
ObjectReader::finish()
{
  if (mFoundKeys == mValue.size()) {
    return;
  }
  auto known = mKnownKeys;
  std::sort(
    known.begin(), known.end(), [](const char* aLeft, const char* aRight) {
      return std::strcmp(aLeft, aRight) < 0;
    });
  for (const auto& key : mValue.getMemberNames()) {
    const auto isSame = [&key](const char* aKnown) { return key == aKnown; };
    if (std::none_of(known.begin(), known.end(), isSame)) {
      mSource.addFault(mValue[key],
                       place(key.c_str()),
                       absl::StrCat("unknown key; expected one of ",
                                    absl::StrJoin(known, ", ")));
    }
  }
}

} // namespace Config
