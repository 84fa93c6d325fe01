#pragma once

#include <absl/strings/string_view.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace Telemetry {

/** The fields of one log line, in order. */
class EventFields
{
public:
  EventFields& add(absl::string_view aName, absl::string_view aText);
  EventFields& add(absl::string_view aName, std::uint64_t aNumber);
  /** Adds a time in milliseconds; aName should say so, as in "waitedMs". */
  EventFields& add(absl::string_view aName, std::chrono::milliseconds aTime);
  /** Adds the hash of a flow, which is the same in all processes. */
  EventFields& flow(std::uint64_t aFlowHash);

  /** The fields as members of a JSON object, each with a leading comma. */
  std::string toJsonMembers() const;
  /** The fields as "name=value", separated by spaces. */
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
