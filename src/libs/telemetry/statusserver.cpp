#include "telemetry/statusserver.h"

#include "core/errorcontext.h"
#include "core/task.h"

#include <httplib.h>

#include <thread>

namespace Telemetry {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;
constexpr std::size_t kServerThreads = 2;

using PageFunction = std::function<std::string()>;

void
servePage(httplib::Server& aServer,
          const std::string& aPath,
          const PageFunction& aCreatePage,
          const char* aContentType)
{
  if (aCreatePage) {
    aServer.Get(
      aPath,
      [&aCreatePage, aContentType](const auto&, httplib::Response& aResponse) {
        aResponse.set_content(aCreatePage(), aContentType);
      });
  }
}

/** aPages must outlive aServer. */
void
servePages(httplib::Server& aServer, const StatusPages& aPages)
{
  servePage(aServer, "/metrics", aPages.metrics, "text/plain; version=0.0.4");
  servePage(aServer, "/status", aPages.status, "application/json");
  servePage(aServer, "/histograms", aPages.histograms, "application/json");
  aServer.Get("/healthz", [](const auto&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  if (aPages.isReady) {
    aServer.Get(
      aPages.readyPath, [&aPages](const auto&, httplib::Response& aResponse) {
        const bool isReady = aPages.isReady();
        aResponse.status = isReady ? kHttpOk : kHttpServiceUnavailable;
        aResponse.set_content(isReady ? "ready\n" : "not ready\n",
                              "text/plain");
      });
  }
  for (const auto& page : aPages.extraPages) {
    aServer.Get(
      page.path,
      [&page](const httplib::Request& aRequest, httplib::Response& aResponse) {
        aResponse.set_content(page.content(aRequest.get_param_value("after")),
                              "application/json");
      });
  }
}

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
  servePages(server, pages);
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
