#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "telemetry/eventcatalogue.h"
#include "telemetry/histogramset.h"
#include "telemetry/metricswriter.h"

#include <absl/strings/match.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace Telemetry;

TEST_CASE("every event is in the catalogue of the docs, by number and name")
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

TEST_CASE("a histogram tells count, sum, maximum and quantiles")
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

TEST_CASE("however many names there are, the histograms stay few")
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

TEST_CASE("the metrics page has the text exposition format")
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
