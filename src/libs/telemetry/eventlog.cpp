#include "telemetry/eventlog.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <json/writer.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <chrono>
#include <mutex>

namespace Telemetry {

namespace {

constexpr std::chrono::seconds kLimitPeriod{ 1 };
/** Events with these numbers may occur for each flow. */
constexpr int kFirstFlowEvent = 300;
constexpr int kLastFlowEvent = 399;

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

int
maxLinesPerSecond(Event aEvent)
{
  if (aEvent == Event::RequestAnswered) {
    return EventLog::kMaxSampledLinesPerSecond;
  }
  const auto number = static_cast<int>(aEvent);
  const bool isFlowEvent =
    number >= kFirstFlowEvent && number <= kLastFlowEvent;
  return isFlowEvent ? EventLog::kMaxFlowLinesPerSecond
                     : EventLog::kMaxOtherLinesPerSecond;
}

/** Numbers of lines of one event in the current period. */
struct LineCount
{
  std::chrono::steady_clock::time_point periodStart;
  int written = 0;
  int suppressed = 0;
};

} // namespace

class EventLog::Private
{
public:
  explicit Private(const EventLogSettings& aSettings)
    : process(aSettings.process)
    , json(aSettings.json)
    , pool(std::make_shared<spdlog::details::thread_pool>(kMaxQueuedLines, 1))
    , logger(std::make_shared<spdlog::async_logger>(
        "events",
        std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        pool,
        spdlog::async_overflow_policy::overrun_oldest))
  {
    logger->set_level(spdlog::level::from_str(aSettings.level));
    logger->flush_on(spdlog::level::debug);
    logger->set_pattern(json ? "%v" : "%Y-%m-%dT%H:%M:%S.%eZ %l %v",
                        spdlog::pattern_time_type::utc);
  }

  /**
   * Sets whether a line may be written now. Returns how many lines were
   * suppressed in the previous period if this line is the first one of a
   * period, else 0.
   */
  int applyLimit(Event aEvent, bool& aIsAllowed)
  {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex);
    auto& lineCount = lineCounts[aEvent];
    if (now - lineCount.periodStart >= kLimitPeriod) {
      const int suppressed = lineCount.suppressed;
      lineCount = { now, 1, 0 };
      aIsAllowed = true;
      return suppressed;
    }
    aIsAllowed = lineCount.written < maxLinesPerSecond(aEvent);
    aIsAllowed ? ++lineCount.written : ++lineCount.suppressed;
    suppressedTotal += aIsAllowed ? 0 : 1;
    return 0;
  }

  std::string format(const EventDescription& aDescription,
                     const EventFields& aFields,
                     int aSuppressed) const
  {
    const auto number = static_cast<int>(aDescription.event);
    if (!json) {
      auto line = absl::StrCat("[",
                               process,
                               "] LS",
                               number,
                               " ",
                               aDescription.name,
                               ": ",
                               aFields.toText());
      return aSuppressed == 0
               ? line
               : absl::StrCat(
                   line, " (", aSuppressed, " similar lines suppressed)");
    }
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    auto line = absl::StrCat("{\"time\":",
                             time.count(),
                             ",\"process\":",
                             Json::valueToQuotedString(process.c_str()),
                             ",\"number\":",
                             number,
                             ",\"event\":\"",
                             aDescription.name,
                             "\"",
                             aFields.toJsonMembers());
    if (aSuppressed > 0) {
      absl::StrAppend(&line, ",\"leftOut\":", aSuppressed);
    }
    if (const auto dropped = pool->overrun_counter(); dropped > 0) {
      absl::StrAppend(&line, ",\"dropped\":", dropped);
    }
    return line + "}";
  }

  std::string process;
  bool json;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
  std::mutex mutex;
  absl::flat_hash_map<Event, LineCount> lineCounts;
  std::atomic<std::uint64_t> suppressedTotal = 0;
};

EventLog::EventLog(const EventLogSettings& aSettings)
  : d(std::make_unique<Private>(aSettings))
{
}

EventLog::~EventLog() = default;

void
EventLog::write(Event aEvent, absl::string_view aDetail)
{
  write(aEvent, [aDetail] { return EventFields().add("detail", aDetail); });
}

void
EventLog::write(Event aEvent, absl::FunctionRef<EventFields()> aMakeFields)
{
  const auto& description = describe(aEvent);
  const auto level = toLevel(description.severity);
  if (!d->logger->should_log(level)) {
    return;
  }
  bool isAllowed = false;
  const int suppressed = d->applyLimit(aEvent, isAllowed);
  if (isAllowed) {
    d->logger->log(level, d->format(description, aMakeFields(), suppressed));
  }
}

std::uint64_t
EventLog::droppedLines() const
{
  return d->pool->overrun_counter();
}

std::uint64_t
EventLog::suppressedLines() const
{
  return d->suppressedTotal;
}

} // namespace Telemetry
