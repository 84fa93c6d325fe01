#pragma once

#include <absl/strings/string_view.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Telemetry {

/** The named values of one line of the log, in their order. */
class EventFields
{
public:
  EventFields& add(absl::string_view aName, absl::string_view aText);
  EventFields& add(absl::string_view aName, std::uint64_t aNumber);
  /** In milliseconds; the name should say so. */
  EventFields& add(absl::string_view aName, std::chrono::milliseconds aTime);
  /** The number of a flow, the same in every process. */
  EventFields& flow(std::uint64_t aFlowHash);

  /** As members of a JSON object, each with a comma in front. */
  std::string toJsonMembers() const;
  /** As "name=value", separated by blanks. */
  std::string toText() const;

private:
  struct Field
  {
    std::string name;
    std::string text;
    bool isNumber = false;
  };

  std::vector<Field> mFields;
};

} // namespace Telemetry
