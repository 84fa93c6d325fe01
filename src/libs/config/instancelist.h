#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace Config {

enum class InstanceRole
{
  Balancer,
  Target,
};

/** An entry of the platform's instance list, which may be outdated. */
struct Instance
{
  std::string name;
  InstanceRole role = InstanceRole::Target;
  std::string zone;
  /** Where it receives packets. */
  Core::Endpoint data;
  /** Where other lacewingspread processes request its view. */
  Core::Endpoint control;
  bool leaving = false;
};

/** An entry that does not have the documented format. */
struct UnreadableInstance
{
  /** Empty if not even the name can be read. */
  std::string name;
  std::string error;
};

struct InstanceList
{
  std::vector<Instance> instances;
  std::vector<UnreadableInstance> unreadable;
};

/**
 * Parses the JSON instance list. aFile is the file name in errors. An error if
 * no entry of a list can be read.
 */
absl::StatusOr<InstanceList>
parseInstanceList(const std::string& aFile, const std::string& aText);

} // namespace Config
