#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Telemetry {

/** One more page of a status server. */
struct ExtraPage
{
  std::string path;
  /** Makes JSON; gets the value of the query's "after", or nothing. */
  std::function<std::string(const std::string& aAfter)> content;
};

/**
 * Where the pages of a status server come from; called on its threads. Pages
 * without a function are not served.
 */
struct StatusPages
{
  /** The text exposition page. */
  std::function<std::string()> metrics;
  /** JSON for `lacewingctl status`. */
  std::function<std::string()> status;
  /** JSON for `lacewingctl histogram`. */
  std::function<std::string()> histograms;
  /** True when the process takes new work. */
  std::function<bool()> isReady;
  /** Where that is answered by 200 or 503. */
  std::string readyPath = "/readyz";
  std::vector<ExtraPage> more;
};

/** Serves /metrics, /status, /histograms, /healthz and readiness over HTTP. */
class StatusServer
{
public:
  /** Fails when the endpoint cannot be bound. */
  static absl::StatusOr<std::unique_ptr<StatusServer>> start(
    const Core::Endpoint& aEndpoint,
    StatusPages aPages);
  ~StatusServer();

private:
  class Private;
  explicit StatusServer(std::unique_ptr<Private> aPrivate);

  std::unique_ptr<Private> d;
};

} // namespace Telemetry
