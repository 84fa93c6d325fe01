#include "process.h"

#include "control/viewexchange.h"
#include "control/viewserver.h"
#include "control/viewwatch.h"
#include "control/zeromqsocket.h"
#include "core/errorcontext.h"
#include "core/filedescriptor.h"

#include <absl/strings/str_cat.h>
#include <json/value.h>

#include <poll.h>
#include <sys/signalfd.h>

#include <chrono>
#include <csignal>

namespace {

constexpr std::chrono::milliseconds kPeerUpdateInterval{ 250 };

absl::StatusOr<Core::FileDescriptor>
openSignalDescriptor()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Threads inherit the mask, so that only the descriptor gets the signals.
  if (pthread_sigmask(SIG_BLOCK, &signals, nullptr) != 0) {
    return Core::lastSystemError("block signals", "kernel");
  }
  Core::FileDescriptor descriptor(signalfd(-1, &signals, SFD_CLOEXEC));
  if (!descriptor.isValid()) {
    return Core::lastSystemError("open the signal descriptor", "kernel");
  }
  return descriptor;
}

} // namespace

class Process::Private
{
public:
  Private(const Config::CommonSettings& aSettings,
          const char* aRole,
          Core::FileDescriptor aSignalDescriptor,
          std::unique_ptr<Core::StopSource> aStopSource)
    : settings(aSettings)
    , role(aRole)
    , signalDescriptor(std::move(aSignalDescriptor))
    , stopSource(std::move(aStopSource))
    , events({ aSettings.name, aSettings.log.level, aSettings.log.json })
    , store(events)
    , exchange(context,
               { aSettings.name, aSettings.zone },
               aSettings.seeds,
               store,
               events,
               *stopSource)
    , watch(aSettings.configurationService,
            aSettings.environment,
            { aSettings.name, aSettings.zone },
            store,
            events,
            *stopSource)
  {
  }

  absl::Status start()
  {
    auto started = Control::ViewServer::start(
      context, settings.control, settings.name, store, *stopSource);
    if (!started.ok()) {
      return started.status();
    }
    viewServer = std::move(*started);
    exchange.update();
    return watch.start();
  }

  Config::CommonSettings settings;
  const char* role;
  Core::FileDescriptor signalDescriptor;
  std::unique_ptr<Core::StopSource> stopSource;
  Telemetry::EventLog events;
  Control::ViewStore store;
  Control::ZeroMqContext context;
  Control::ViewExchange exchange;
  Control::ViewWatch watch;
  std::unique_ptr<Control::ViewServer> viewServer;
};

absl::StatusOr<std::unique_ptr<Process>>
Process::start(const Config::CommonSettings& aSettings, const char* aRole)
{
  auto signalDescriptor = openSignalDescriptor();
  if (!signalDescriptor.ok()) {
    return signalDescriptor.status();
  }
  auto stopSource = Core::StopSource::create();
  if (!stopSource.ok()) {
    return stopSource.status();
  }
  auto d = std::make_unique<Private>(
    aSettings, aRole, std::move(*signalDescriptor), std::move(*stopSource));
  if (auto status = d->start(); !status.ok()) {
    d->stopSource->requestStop();
    return status;
  }
  d->events.write(Telemetry::Event::ProcessStarted,
                  absl::StrCat(aRole,
                               " in zone ",
                               aSettings.zone,
                               ", data endpoint ",
                               Core::formatEndpoint(aSettings.data)));
  return std::unique_ptr<Process>(new Process(std::move(d)));
}

Process::Process(std::unique_ptr<Private> aPrivate)
  : d(std::move(aPrivate))
{
}

Process::~Process()
{
  d->stopSource->requestStop();
  d->events.write(Telemetry::Event::ProcessStopped, d->role);
}

Telemetry::EventLog&
Process::events()
{
  return d->events;
}

Control::ViewStore&
Process::store()
{
  return d->store;
}

Core::StopSource&
Process::stopSource()
{
  return *d->stopSource;
}

void
Process::waitForSignal(const std::function<bool()>& aIsDone)
{
  pollfd pollEntry{ d->signalDescriptor.value(), POLLIN, 0 };
  while (!aIsDone()) {
    if (poll(&pollEntry, 1, static_cast<int>(kPeerUpdateInterval.count())) >
        0) {
      d->events.write(Telemetry::Event::ProcessStopping, d->role);
      return;
    }
    d->exchange.update();
  }
}

std::vector<Config::EvacuatedZone>
Process::evacuatedZones() const
{
  const auto view = d->store.state().view;
  return view == nullptr ? std::vector<Config::EvacuatedZone>()
                         : view->document().evacuatedZones;
}

void
Process::addStatus(Json::Value& aStatus) const
{
  const auto state = d->store.state();
  aStatus["role"] = d->role;
  aStatus["name"] = d->settings.name;
  aStatus["zone"] = d->settings.zone;
  aStatus["environment"] = d->settings.environment;
  aStatus["revision"] = Json::Value::UInt64(state.revision);
  aStatus["digest"] = state.digest;
  aStatus["listIndex"] = Json::Value::UInt64(state.listIndex);
  aStatus["confirmedMillisecondsAgo"] =
    Json::Value::Int64(d->store.timeSinceConfirmation().count());
  aStatus["evacuatedZones"] = Json::Value(Json::arrayValue);
  for (const auto& zone : evacuatedZones()) {
    Json::Value entry;
    entry["zone"] = zone.name;
    entry["sinceRevision"] = Json::Value::UInt64(zone.sinceRevision);
    aStatus["evacuatedZones"].append(entry);
  }
  aStatus["peers"] = Json::Value::UInt64(d->exchange.peerCount());
  aStatus["serviceCalls"] = Json::Value::UInt64(d->watch.callCount());
  aStatus["exchangedBytes"] = Json::Value::UInt64(d->exchange.exchangedBytes() +
                                                  d->viewServer->sentBytes());
}
