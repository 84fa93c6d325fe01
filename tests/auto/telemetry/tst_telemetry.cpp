#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "telemetry/eventcatalogue.h"
#include "telemetry/eventlog.h"
#include "telemetry/flowtrace.h"
#include "telemetry/histogramset.h"
#include "telemetry/metricswriter.h"

#include <absl/strings/match.h>

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

using namespace Telemetry;

TEST_CASE("the documentation lists every event by number and name")
{
  std::stringstream page;
  page << std::ifstream(std::string(DOCS_FOLDER) + "/EVENTS.md").rdbuf();
  const auto text = page.str();
  std::set<int> numbers;
  for (const auto& it : eventCatalogue()) {
    const auto row =
      absl::StrCat("| ", static_cast<int>(it.event), " | ", it.name, " |");
    CHECK_MESSAGE(absl::StrContains(text, row), row);
    CHECK(numbers.insert(static_cast<int>(it.event)).second);
    CHECK(describe(it.event).name == it.name);
  }
  std::set<int> rows;
  const std::regex rowPattern("(^|\n)\\| ([0-9]+) \\|");
  for (std::sregex_iterator it(text.begin(), text.end(), rowPattern), end;
       it != end;
       ++it) {
    rows.insert(std::stoi((*it)[2].str()));
  }
  CHECK(rows == numbers);
}

TEST_CASE("a histogram summary has count, sum, maximum and quantiles")
{
  HistogramSet set;
  for (int i = 1; i <= 1000; ++i) {
    set.add("kazi", "class", "claim", std::chrono::milliseconds(i));
  }
  const auto summaries = set.summaries();
  REQUIRE(summaries.size() == 1);
  CHECK(summaries[0].count == 1000);
  CHECK(summaries[0].maximum == doctest::Approx(1.0));
  CHECK(summaries[0].sum == doctest::Approx(500.5));
  CHECK(summaries[0].p50 == doctest::Approx(0.5).epsilon(0.05));
  CHECK(summaries[0].p99 == doctest::Approx(0.99).epsilon(0.05));
}

TEST_CASE("the number of histograms is limited")
{
  HistogramSet set;
  for (int i = 0; i < 10'000; ++i) {
    set.add("kazi", "member", absl::StrCat(i), std::chrono::milliseconds(1));
  }
  const auto summaries = set.summaries();
  CHECK(summaries.size() <= 257);
  std::uint64_t count = 0;
  for (const auto& it : summaries) {
    count += it.count;
  }
  CHECK(count == 10'000);
}

TEST_CASE("the metrics page is in the Prometheus text format")
{
  MetricsWriter writer;
  writer.counter("flows_admitted_total", 7);
  HistogramSet set;
  set.add("kazi", "class", "claim", std::chrono::milliseconds(5));
  writer.histograms(set.summaries());
  const auto& page = writer.page();
  CHECK(absl::StrContains(page,
                          "# TYPE lacewingspread_flows_admitted_total counter\n"
                          "lacewingspread_flows_admitted_total 7\n"));
  CHECK(absl::StrContains(
    page,
    "lacewingspread_flow_duration_seconds_count{service=\"kazi\","
    "class=\"claim\"} 1\n"));
}

TEST_CASE("fields are formatted as JSON and as text")
{
  EventFields fields;
  fields.flow(0xAB).add("why", "a \"quoted\" word").add("count", 7);
  fields.add("waitedMs", std::chrono::milliseconds(250));
  CHECK(fields.toJsonMembers() ==
        ",\"flow\":\"00000000000000ab\",\"why\":\"a \\\"quoted\\\" "
        "word\",\"count\":7,\"waitedMs\":250");
  CHECK(fields.toText() == "flow=00000000000000ab why=a \"quoted\" word "
                           "count=7 waitedMs=250");
}

TEST_CASE("an event creates no lines beyond its limit")
{
  EventLog log({ "test", "info", true });
  int createdLines = 0;
  for (int i = 0; i < 100; ++i) {
    log.write(Event::ProcessSlept, [&createdLines] {
      ++createdLines;
      return EventFields().add("detail", "a line of a test");
    });
  }
  // The loop may run across the end of one second.
  CHECK(createdLines >= EventLog::kMaxOtherLinesPerSecond);
  CHECK(createdLines <= 2 * EventLog::kMaxOtherLinesPerSecond);
  CHECK(log.suppressedLines() ==
        static_cast<std::uint64_t>(100 - createdLines));
}

TEST_CASE("a blocked standard output does not block writers")
{
  int pipeEnds[2];
  REQUIRE(pipe(pipeEnds) == 0);
  const int originalOutput = dup(STDOUT_FILENO);
  fflush(stdout);
  dup2(pipeEnds[1], STDOUT_FILENO);
  std::uint64_t dropped = 0;
  {
    EventLog log({ "test", "info", true });
    const std::string text(2'000, 'x');
    // The lines fill the pipe of 64 KB first, then the queue; then some are
    // dropped.
    for (int round = 0; dropped == 0 && round < 1'000; ++round) {
      for (int number = 100; number < 500; ++number) {
        for (const auto& it : eventCatalogue()) {
          if (static_cast<int>(it.event) == number) {
            log.write(it.event, text);
          }
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      dropped = log.droppedLines();
    }
    // The writing thread must be able to write the queued lines when it ends.
    const int devNull = open("/dev/null", O_WRONLY);
    dup2(devNull, STDOUT_FILENO);
    close(devNull);
    close(pipeEnds[1]);
    signal(SIGPIPE, SIG_IGN);
    close(pipeEnds[0]);
  }
  dup2(originalOutput, STDOUT_FILENO);
  close(originalOutput);
  CHECK(dropped > 0);
}

TEST_CASE("lines of other programs do not end a flow trace")
{
  std::istringstream log(
    "{\"event\":\"e\",\"flow\":\"ab\",\"time\":\"noon\",\"number\":1e300,"
    "\"process\":[],\"detail\":{\"a\":[1]}}\n"
    "{\"event\":\"e\",\"flow\":{\"x\":1},\"caller\":[\"ab\"]}\n" +
    std::string(2'000, '[') + "{" + std::string(2'000, '[') +
    "\n"
    "{\"event\":\"e\",\"flow\":\"ab\",\"a\":" +
    std::string(2'000, '[') + "\n");
  FlowTraceReader reader("ab");
  reader.read(log);
  const auto trace = reader.flowTrace();
  REQUIRE(trace.lines.size() == 1);
  CHECK(trace.lines[0].fields == "detail={\"a\":[1]} flow=ab");
  CHECK(trace.unreadableLines == 2);
}

TEST_CASE("a flow trace is merged from several logs")
{
  std::istringstream balancer(
    "0.1 b1 {\"time\":1000,\"process\":\"b1\",\"number\":310,"
    "\"event\":\"flow-placed\",\"flow\":\"ab\",\"caller\":\"1.2.3.4:5\"}\n"
    "no event\n"
    "{\"time\":1001,\"process\":\"b1\",\"number\":310,"
    "\"event\":\"flow-placed\",\"flow\":\"cd\"}\n");
  std::istringstream agent(
    "{\"time\":990,\"process\":\"s1\",\"number\":320,"
    "\"event\":\"flow-admitted\",\"flow\":\"ab\",\"waiting\":2}\n");
  FlowTraceReader reader("ab");
  reader.read(balancer);
  reader.read(agent);
  const auto trace = reader.flowTrace();
  REQUIRE(trace.lines.size() == 2);
  CHECK(trace.lines[0].process == "s1");
  CHECK(trace.lines[0].fields == "flow=ab waiting=2");
  CHECK(trace.lines[1].process == "b1");
  CHECK(trace.unreadableLines == 1);
  REQUIRE(trace.clockNotes.size() == 1);
  CHECK(trace.clockNotes[0] ==
        "the clock of s1 is at least 10 ms behind that of b1");
}
