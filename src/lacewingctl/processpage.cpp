#include "processpage.h"

#include "core/endpoint.h"
#include "core/errorcontext.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <json/reader.h>

#include <chrono>

namespace {

constexpr std::chrono::seconds kTimeout{ 3 };
constexpr int kOk = 200;

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
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto result = client.Get(aPath);
  if (!result || result->status != kOk) {
    return Core::withContext(
      absl::UnavailableError("no answer"), step, aEndpoint);
  }
  Json::Value page;
  if (!Json::Reader().parse(result->body, page)) {
    return Core::withContext(
      absl::DataLossError("the answer is not JSON"), step, aEndpoint);
  }
  return page;
}
