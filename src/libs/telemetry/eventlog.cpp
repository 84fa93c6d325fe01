#include "telemetry/eventlog.h"

#include <absl/container/flat_hash_map.h>
#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <mutex>

namespace Telemetry {

namespace {

constexpr std::chrono::seconds kLimitPeriod{ 10 };
constexpr int kLinesPerPeriod = 10;

spdlog::level::level_enum
toLevel(Severity aSeverity)
{
  switch (aSeverity) {
    case Severity::Debug:
      return spdlog::level::debug;
    case Severity::Information:
      return spdlog::level::info;
    case Severity::Warning:
      return spdlog::level::warn;
    case Severity::Error:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

/** How often one event was written in the present period. */
struct Repetition
{
  std::chrono::steady_clock::time_point periodStart;
  int written = 0;
  int leftOut = 0;
};

} // namespace

class EventLog::Private
{
public:
  explicit Private(const EventLogSettings& aSettings)
    : process(aSettings.process)
    , json(aSettings.json)
    , logger("events", std::make_shared<spdlog::sinks::stderr_sink_mt>())
  {
    logger.set_level(spdlog::level::from_str(aSettings.level));
    logger.flush_on(spdlog::level::debug);
    logger.set_pattern(json ? "%v" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                       spdlog::pattern_time_type::utc);
  }

  /** Lines left out before this one; nothing when this one is left out. */
  int admit(Event aEvent, bool& aAdmitted)
  {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex);
    auto& entry = repetitions[aEvent];
    if (now - entry.periodStart >= kLimitPeriod) {
      const int leftOut = entry.leftOut;
      entry = { now, 1, 0 };
      aAdmitted = true;
      return leftOut;
    }
    aAdmitted = entry.written < kLinesPerPeriod;
    aAdmitted ? ++entry.written : ++entry.leftOut;
    return 0;
  }

  std::string format(const EventDescription& aDescription,
                     absl::string_view aDetail,
                     int aLeftOut) const
  {
    const auto number = static_cast<int>(aDescription.event);
    if (!json) {
      auto line = fmt::format("[{}] LS{} {}: {}",
                              process,
                              number,
                              std::string(aDescription.name),
                              std::string(aDetail));
      return aLeftOut == 0
               ? line
               : fmt::format("{} ({} like it left out)", line, aLeftOut);
    }
    Json::Value object;
    object["time"] =
      Json::Value::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count());
    object["process"] = process;
    object["number"] = number;
    object["event"] = std::string(aDescription.name);
    object["detail"] = std::string(aDetail);
    object["leftOut"] = aLeftOut;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, object);
  }

  std::string process;
  bool json;
  spdlog::logger logger;
  std::mutex mutex;
  absl::flat_hash_map<Event, Repetition> repetitions;
};

EventLog::EventLog(const EventLogSettings& aSettings)
  : d(std::make_unique<Private>(aSettings))
{
}

EventLog::~EventLog() = default;

void
EventLog::write(Event aEvent, absl::string_view aDetail)
{
  const auto& description = describe(aEvent);
  const auto level = toLevel(description.severity);
  if (!d->logger.should_log(level)) {
    return;
  }
  bool admitted = false;
  const int leftOut = d->admit(aEvent, admitted);
  if (admitted) {
    d->logger.log(level, d->format(description, aDetail, leftOut));
  }
}

} // namespace Telemetry
