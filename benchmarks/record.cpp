#include "record.h"

#include <absl/strings/str_format.h>
#include <json/value.h>
#include <json/writer.h>

#include <iostream>

namespace Bench {

bool
Record::isMet() const
{
  if (!target) {
    return true;
  }
  return isLowerBound ? value >= *target : value <= *target;
}

void
printTable(const Records& aRecords)
{
  for (const auto& it : aRecords) {
    std::string line =
      absl::StrFormat("%-58s %12.4g %-8s", it.figure, it.value, it.unit);
    if (it.target) {
      line += absl::StrFormat(" %s %.4g: %s",
                              it.isLowerBound ? ">=" : "<=",
                              *it.target,
                              it.isMet() ? "met" : "NOT MET");
    }
    if (it.reference) {
      line += absl::StrFormat("  [%s %.4g]", it.referenceName, *it.reference);
    }
    std::cout << line << std::endl;
  }
}

std::string
toJson(const Records& aRecords)
{
  Json::Value array(Json::arrayValue);
  for (const auto& it : aRecords) {
    Json::Value object;
    object["figure"] = it.figure;
    object["value"] = it.value;
    object["unit"] = it.unit;
    if (it.target) {
      object["target"] = *it.target;
      object["isLowerBound"] = it.isLowerBound;
      object["isMet"] = it.isMet();
    }
    if (it.reference) {
      object["reference"] = *it.reference;
      object["referenceName"] = it.referenceName;
    }
    array.append(object);
  }
  return Json::writeString(Json::StreamWriterBuilder(), array) + "\n";
}

} // namespace Bench
