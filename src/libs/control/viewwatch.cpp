#include "control/viewwatch.h"

#include "compression/textcodec.h"
#include "configservice/serviceclient.h"
#include "control/readbackoff.h"
#include "control/viewstore.h"
#include "core/stopsource.h"
#include "core/task.h"
#include "telemetry/eventlog.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <utility>

namespace Control {

namespace {

/** Maximum time that the service delays its reply to a watch call. */
constexpr std::chrono::milliseconds kLongPollTimeout{ 2'000 };
/** A process without a confirmation for this time reads the service itself. */
constexpr std::chrono::milliseconds kConfirmationTimeout{ 4'000 };
constexpr std::chrono::milliseconds kReadCheckInterval{ 500 };

using WatchFunction = absl::StatusOr<ConfigService::WatchResult> (
  ConfigService::ServiceClient::*)(std::uint64_t, std::chrono::milliseconds);

} // namespace

class ViewWatch::Private
{
public:
  Private(const Core::Endpoint& aService,
          const std::string& aEnvironment,
          LocalInstance aSelf,
          ViewStore& aStore,
          Telemetry::EventLog& aEvents,
          const Core::StopSource& aStop)
    : self(std::move(aSelf))
    , store(aStore)
    , events(aEvents)
    , stop(aStop)
    , source("service " + Core::formatEndpoint(aService))
    , documentClient(aService, aEnvironment)
    , listClient(aService, aEnvironment)
  {
  }

  /** Runs on one thread for the document and one for the instance list. */
  template<typename ApplyResult>
  void run(ConfigService::ServiceClient& aClient,
           WatchFunction aWatch,
           ApplyResult aApplyResult)
  {
    std::mt19937_64 random(std::random_device{}());
    std::uint64_t index = 0;
    ReadBackoff backoff;
    bool isReachable = true;
    while (!stop.isStopRequested()) {
      if (!shouldRead()) {
        stop.sleepFor(kReadCheckInterval);
        continue;
      }
      ++callCount;
      const auto result = (aClient.*aWatch)(index, kLongPollTimeout);
      if (stop.isStopRequested()) {
        return;
      }
      if (!result.ok()) {
        if (std::exchange(isReachable, false)) {
          events.write(Telemetry::Event::ServiceUnreachable,
                       result.status().message());
        }
        stop.sleepFor(backoff.next(isReader(), random));
        continue;
      }
      if (!std::exchange(isReachable, true)) {
        events.write(Telemetry::Event::ServiceReachable, source);
      }
      backoff.reset();
      index = result->index;
      aApplyResult(*result);
    }
  }

  bool shouldRead()
  {
    const auto now = std::chrono::steady_clock::now();
    const auto confirmationCount = store.confirmationCount();
    {
      const std::lock_guard lock(mutex);
      if (confirmationCount != lastConfirmationCount) {
        lastConfirmationCount = confirmationCount;
        confirmedAt = now;
      }
      if (now - confirmedAt > kConfirmationTimeout) {
        return true;
      }
    }
    return store.state().view == nullptr || isReader();
  }

  bool isReader() const
  {
    return store.state().view != nullptr &&
           isServiceReader(store.instances(), self);
  }

  void applyDocument(const ConfigService::WatchResult& aResult)
  {
    if (aResult.hasChanged) {
      // The store logs an invalid document; the next change may correct it.
      static_cast<void>(store.updateDocument(aResult.text, source));
      const auto text = Compression::decompressIfNeeded(aResult.text);
      serviceDigest = text.ok() ? Config::digestOf(*text) : std::string();
    }
    // A service with another document confirms nothing: its data may be old.
    if (serviceDigest == store.state().digest) {
      store.confirm();
    }
  }

  void applyInstanceList(const ConfigService::WatchResult& aResult)
  {
    if (aResult.hasChanged) {
      static_cast<void>(
        store.updateInstanceList(aResult.text, aResult.index, source));
    }
  }

  LocalInstance self;
  ViewStore& store;
  Telemetry::EventLog& events;
  const Core::StopSource& stop;
  std::string source;
  ConfigService::ServiceClient documentClient;
  ConfigService::ServiceClient listClient;
  std::atomic<std::uint64_t> callCount = 0;
  /** Digest of the service's document; used only by the document's thread. */
  std::string serviceDigest;
  std::mutex mutex;
  std::uint64_t lastConfirmationCount = 0;
  std::chrono::steady_clock::time_point confirmedAt =
    std::chrono::steady_clock::now();
  Core::Task documentTask;
  Core::Task listTask;
};

ViewWatch::ViewWatch(const Core::Endpoint& aService,
                     const std::string& aEnvironment,
                     LocalInstance aSelf,
                     ViewStore& aStore,
                     Telemetry::EventLog& aEvents,
                     const Core::StopSource& aStop)
  : d(std::make_unique<Private>(aService,
                                aEnvironment,
                                std::move(aSelf),
                                aStore,
                                aEvents,
                                aStop))
{
}

ViewWatch::~ViewWatch()
{
  d->documentClient.cancel();
  d->listClient.cancel();
}

absl::Status
ViewWatch::start()
{
  auto* const p = d.get();
  auto status = p->documentTask.start("watch-document", [p] {
    p->run(p->documentClient,
           &ConfigService::ServiceClient::watchDocument,
           [p](const auto& aResult) { p->applyDocument(aResult); });
  });
  if (!status.ok()) {
    return status;
  }
  return p->listTask.start("watch-list", [p] {
    p->run(p->listClient,
           &ConfigService::ServiceClient::watchInstances,
           [p](const auto& aResult) { p->applyInstanceList(aResult); });
  });
}

std::uint64_t
ViewWatch::callCount() const
{
  return d->callCount;
}

} // namespace Control
