#include "configservice/serviceclient.h"

#include "core/errorcontext.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <httplib.h>

namespace ConfigService {

namespace {

constexpr std::chrono::seconds kConnectTimeout{ 2 };
/** Added to the wait time of a call to get its read timeout. */
constexpr std::chrono::seconds kReadTimeoutMargin{ 3 };
constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
constexpr const char* kIndexHeader = "X-Index";

} // namespace

class ServiceClient::Private
{
public:
  Private(const Core::Endpoint& aService, std::string aEnvironment)
    : environment(std::move(aEnvironment))
    , peer(Core::formatEndpoint(aService))
    , client(Core::formatAddress(aService.address), aService.port)
  {
    client.set_connection_timeout(kConnectTimeout);
    client.set_keep_alive(true);
  }

  absl::StatusOr<WatchResult> watch(const std::string& aPath,
                                    std::uint64_t aIndex,
                                    std::chrono::milliseconds aWait)
  {
    client.set_read_timeout(
      std::chrono::duration_cast<std::chrono::seconds>(aWait) +
      kReadTimeoutMargin);
    const auto path = absl::StrCat(
      aPath, "?index=", aIndex, "&waitMilliseconds=", aWait.count());
    const auto response = client.Get(path);
    const auto step = absl::StrCat("read ", path);
    if (!response) {
      return Core::withContext(
        absl::UnavailableError(httplib::to_string(response.error())),
        step,
        peer);
    }
    WatchResult watchResult;
    watchResult.index = aIndex;
    if (response->status == kHttpNotModified) {
      return watchResult;
    }
    if (response->status != kHttpOk) {
      return Core::withContext(
        absl::UnavailableError(absl::StrCat("HTTP status ", response->status)),
        step,
        peer);
    }
    if (!absl::SimpleAtoi(response->get_header_value(kIndexHeader),
                          &watchResult.index)) {
      return Core::withContext(
        absl::InternalError("the answer has no valid X-Index header"),
        step,
        peer);
    }
    watchResult.text = response->body;
    watchResult.hasChanged = true;
    return watchResult;
  }

  std::string environment;
  std::string peer;
  httplib::Client client;
};

ServiceClient::ServiceClient(const Core::Endpoint& aService,
                             std::string aEnvironment)
  : d(std::make_unique<Private>(aService, std::move(aEnvironment)))
{
}

ServiceClient::~ServiceClient() = default;

absl::StatusOr<WatchResult>
ServiceClient::watchDocument(std::uint64_t aIndex,
                             std::chrono::milliseconds aWait)
{
  return d->watch("/v1/documents/" + d->environment, aIndex, aWait);
}

absl::StatusOr<WatchResult>
ServiceClient::watchInstances(std::uint64_t aIndex,
                              std::chrono::milliseconds aWait)
{
  return d->watch("/v1/instances", aIndex, aWait);
}

void
ServiceClient::cancel()
{
  d->client.stop();
}

} // namespace ConfigService
