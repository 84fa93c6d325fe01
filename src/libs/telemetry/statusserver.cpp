#include "telemetry/statusserver.h"

#include "core/errorcontext.h"
#include "core/task.h"

#include <httplib.h>

#include <thread>

namespace Telemetry {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::size_t kServerThreads = 2;

} // namespace

class StatusServer::Private
{
public:
  httplib::Server server;
  StatusPages pages;
  Core::Task task;
};

absl::StatusOr<std::unique_ptr<StatusServer>>
StatusServer::start(const Core::Endpoint& aEndpoint, StatusPages aPages)
{
  auto d = std::make_unique<Private>();
  d->pages = std::move(aPages);
  auto& server = d->server;
  const auto& pages = d->pages;
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  server.Get("/metrics", [&pages](const auto&, httplib::Response& aResponse) {
    aResponse.set_content(pages.metrics(), "text/plain; version=0.0.4");
  });
  server.Get("/status", [&pages](const auto&, httplib::Response& aResponse) {
    aResponse.set_content(pages.status(), "application/json");
  });
  server.Get("/histograms",
             [&pages](const auto&, httplib::Response& aResponse) {
               aResponse.set_content(pages.histograms(), "application/json");
             });
  server.Get("/healthz", [](const auto&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  server.Get(
    pages.readyPath, [&pages](const auto&, httplib::Response& aResponse) {
      const bool ready = pages.isReady();
      aResponse.status = ready ? kOk : kUnavailable;
      aResponse.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
  const auto peer = Core::formatEndpoint(aEndpoint);
  if (!server.bind_to_port(Core::formatAddress(aEndpoint.address),
                           aEndpoint.port)) {
    return Core::withContext(
      absl::UnavailableError("cannot bind"), "start the status server", peer);
  }
  const auto started =
    d->task.start("status", [&server] { server.listen_after_bind(); });
  if (!started.ok()) {
    return started;
  }
  while (!server.is_running()) {
    std::this_thread::yield();
  }
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(d)));
}

StatusServer::StatusServer(std::unique_ptr<Private> aPrivate)
  : d(std::move(aPrivate))
{
}

StatusServer::~StatusServer()
{
  d->server.stop();
}

} // namespace Telemetry
