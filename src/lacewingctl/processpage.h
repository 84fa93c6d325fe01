#pragma once

#include <absl/status/statusor.h>
#include <json/value.h>

#include <string>

/** The JSON page of one process; errors tell the step and the peer. */
absl::StatusOr<Json::Value>
readPage(const std::string& aEndpoint, const char* aPath);
