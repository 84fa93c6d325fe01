#include "processpage.h"

#include "core/endpoint.h"
#include "core/errorcontext.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <json/reader.h>

#include <chrono>

namespace {

constexpr std::chrono::seconds kRequestTimeout{ 3 };
constexpr int kHttpOk = 200;

} // namespace

absl::StatusOr<Json::Value>
readPage(const std::string& aEndpoint, const char* aPath)
{
  const auto endpoint = Core::parseEndpoint(aEndpoint);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  const auto step = absl::StrCat("read ", aPath);
  httplib::Client client(Core::formatAddress(endpoint->address),
                         endpoint->port);
  client.set_connection_timeout(kRequestTimeout);
  client.set_read_timeout(kRequestTimeout);
  const auto result = client.Get(aPath);
  if (!result || result->status != kHttpOk) {
    return Core::withContext(
      absl::UnavailableError("no successful HTTP reply"), step, aEndpoint);
  }
  Json::Value page;
  if (!Json::Reader().parse(result->body, page)) {
    return Core::withContext(
      absl::DataLossError("the reply is not valid JSON"), step, aEndpoint);
  }
  return page;
}
