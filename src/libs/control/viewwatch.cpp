#include "control/viewwatch.h"

#include "compression/textcodec.h"
#include "configservice/serviceclient.h"
#include "control/viewstore.h"
#include "core/stopsource.h"
#include "core/task.h"
#include "telemetry/eventlog.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <utility>

namespace Control {

namespace {

/** How long a watch waits at the service. */
constexpr std::chrono::milliseconds kWait{ 2'000 };
constexpr std::chrono::milliseconds kFirstBackoff{ 500 };
constexpr std::chrono::milliseconds kMaximumBackoff{ 30'000 };
/** Without a confirmation for so long a process reads the service itself. */
constexpr std::chrono::milliseconds kUnconfirmedLimit{ 4'000 };
constexpr std::chrono::milliseconds kIdleInterval{ 500 };

using Watch = absl::StatusOr<ConfigService::WatchResult> (
  ConfigService::ServiceClient::*)(std::uint64_t, std::chrono::milliseconds);

} // namespace

class ViewWatch::Private
{
public:
  Private(const Core::Endpoint& aService,
          const std::string& aEnvironment,
          SelfPlace aSelf,
          ViewStore& aStore,
          Telemetry::EventLog& aEvents,
          const Core::StopSource& aStop)
    : self(std::move(aSelf))
    , store(aStore)
    , events(aEvents)
    , stop(aStop)
    , source("service " + Core::formatEndpoint(aService))
    , documents(aService, aEnvironment)
    , lists(aService, aEnvironment)
  {
  }

  /** One task for each value that is watched. */
  template<typename Offer>
  void run(ConfigService::ServiceClient& aClient, Watch aWatch, Offer aOffer)
  {
    std::mt19937_64 random(std::random_device{}());
    std::uint64_t index = 0;
    auto backoff = kFirstBackoff;
    bool isReachable = true;
    while (!stop.isStopRequested()) {
      if (!mayRead()) {
        stop.sleepFor(kIdleInterval);
        continue;
      }
      ++calls;
      const auto value = (aClient.*aWatch)(index, kWait);
      if (stop.isStopRequested()) {
        return;
      }
      if (!value.ok()) {
        if (std::exchange(isReachable, false)) {
          events.write(Telemetry::Event::ServiceUnreachable,
                       value.status().message());
        }
        std::uniform_int_distribution<std::int64_t> delay(backoff.count() / 2,
                                                          backoff.count());
        stop.sleepFor(std::chrono::milliseconds(delay(random)));
        backoff = std::min(backoff * 2, kMaximumBackoff);
        continue;
      }
      if (!std::exchange(isReachable, true)) {
        events.write(Telemetry::Event::ServiceReachable, source);
      }
      backoff = kFirstBackoff;
      index = value->index;
      aOffer(*value);
    }
  }

  bool mayRead()
  {
    const auto now = std::chrono::steady_clock::now();
    const auto confirmations = store.confirmations();
    {
      const std::lock_guard lock(mutex);
      if (confirmations != seenConfirmations) {
        seenConfirmations = confirmations;
        confirmedAt = now;
      }
      if (now - confirmedAt > kUnconfirmedLimit) {
        return true;
      }
    }
    return store.state().view == nullptr ||
           isServiceReader(store.instances(), self);
  }

  void offerDocument(const ConfigService::WatchResult& aValue)
  {
    if (aValue.hasChanged) {
      // The store tells what is wrong with it; the next change may mend it.
      static_cast<void>(store.offerDocument(aValue.text, source));
      const auto text = Compression::decompressIfNeeded(aValue.text);
      offeredDigest = text.ok() ? Config::digestOf(*text) : std::string();
    }
    // A service with old data confirms nothing.
    if (offeredDigest == store.state().digest) {
      store.confirm();
    }
  }

  void offerList(const ConfigService::WatchResult& aValue)
  {
    if (aValue.hasChanged) {
      static_cast<void>(
        store.offerInstanceList(aValue.text, aValue.index, source));
    }
  }

  SelfPlace self;
  ViewStore& store;
  Telemetry::EventLog& events;
  const Core::StopSource& stop;
  std::string source;
  ConfigService::ServiceClient documents;
  ConfigService::ServiceClient lists;
  std::atomic<std::uint64_t> calls = 0;
  /** Used by the document's task alone. */
  std::string offeredDigest;
  std::mutex mutex;
  std::uint64_t seenConfirmations = 0;
  std::chrono::steady_clock::time_point confirmedAt =
    std::chrono::steady_clock::now();
  Core::Task documentTask;
  Core::Task listTask;
};

ViewWatch::ViewWatch(const Core::Endpoint& aService,
                     const std::string& aEnvironment,
                     SelfPlace aSelf,
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
  d->documents.cancel();
  d->lists.cancel();
}

absl::Status
ViewWatch::start()
{
  auto* const p = d.get();
  auto status = p->documentTask.start("watch-document", [p] {
    p->run(p->documents,
           &ConfigService::ServiceClient::watchDocument,
           [p](const auto& aValue) { p->offerDocument(aValue); });
  });
  if (!status.ok()) {
    return status;
  }
  return p->listTask.start("watch-list", [p] {
    p->run(p->lists,
           &ConfigService::ServiceClient::watchInstances,
           [p](const auto& aValue) { p->offerList(aValue); });
  });
}

std::uint64_t
ViewWatch::callCount() const
{
  return d->calls;
}

} // namespace Control
