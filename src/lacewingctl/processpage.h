#pragma once

#include <absl/status/statusor.h>
#include <json/value.h>

#include <string>

/**
 * Reads a JSON page from the status endpoint of a process. An error names the
 * failed step and the endpoint.
 */
absl::StatusOr<Json::Value>
readPage(const std::string& aEndpoint, const char* aPath);
