#include "processpage.h"

#include "core/endpoint.h"
#include "core/errorcontext.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <json/reader.h>

#include <chrono>
#include <memory>

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
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  const auto& body = result->body;
  Json::Value page;
  std::string errors;
  try {
    if (reader->parse(body.data(), body.data() + body.size(), &page, &errors) &&
        (page.isObject() || page.isArray())) {
      return page;
    }
  } catch (const Json::Exception& error) {
    // The reader throws if values are nested too deeply.
    errors = error.what();
  }
  return Core::withContext(
    absl::DataLossError(absl::StrCat("the reply is not a page: ", errors)),
    step,
    aEndpoint);
}
