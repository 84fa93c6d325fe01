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

/** One line of the platform's list, which lags behind the truth. */
struct Instance
{
  std::string name;
  InstanceRole role = InstanceRole::Target;
  std::string zone;
  /** Where its packets go. */
  Core::Endpoint data;
  /** Where our processes ask it for its view. */
  Core::Endpoint control;
  bool leaving = false;
};

struct InstanceList
{
  std::vector<Instance> instances;
};

/** Reads the list as the platform serves it (JSON). */
absl::StatusOr<InstanceList>
parseInstanceList(const std::string& aSource, const std::string& aText);

} // namespace Config
