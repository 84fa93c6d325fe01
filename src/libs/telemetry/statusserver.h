#pragma once

#include "core/endpoint.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Telemetry {

/** An additional JSON page of a status server. */
struct ExtraPage
{
  std::string path;
  /** Returns JSON; aAfter is the query parameter "after", or empty. */
  std::function<std::string(const std::string& aAfter)> content;
};

/**
 * The functions that create the pages of a status server. They are called on
 * its threads. Pages without a function are not served.
 */
struct StatusPages
{
  /** Metrics in the Prometheus text format. */
  std::function<std::string()> metrics;
  /** JSON for `lacewingctl status`. */
  std::function<std::string()> status;
  /** JSON for `lacewingctl histogram`. */
  std::function<std::string()> histograms;
  /** Whether the process accepts new work. */
  std::function<bool()> isReady;
  /** Path of the readiness check, which replies with the status 200 or 503. */
  std::string readyPath = "/readyz";
  std::vector<ExtraPage> extraPages;
};

/** Serves /metrics, /status, /histograms, /healthz and readiness over HTTP. */
class StatusServer
{
public:
  /** Fails if the endpoint cannot be bound. */
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
