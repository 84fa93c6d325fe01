#include "benches.h"

#include "compression/textcodec.h"
#include "config/documentparser.h"
#include "core/systemclock.h"
#include "routing/fleetview.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <malloc.h>

namespace Bench {

namespace {

constexpr double kMebibyte = 1024.0 * 1024.0;
constexpr double kAddressesPerTarget = 5'000.0 / 13'000.0;

/** A document with so many targets, as an operator would publish it. */
std::string
makeDocument(std::size_t aTargets, std::uint64_t aRevision)
{
  const auto services =
    static_cast<std::size_t>(aTargets * kAddressesPerTarget) + 1;
  std::string text =
    absl::StrCat("{\"revision\":",
                 aRevision,
                 ",\"regions\":[{\"name\":\"r1\",\"zones\":[\"z1\",\"z2\","
                 "\"z3\"]},{\"name\":\"r2\",\"zones\":[\"z4\",\"z5\"]}],"
                 "\"members\":[],\"services\":[");
  for (std::size_t s = 0; s < services; ++s) {
    absl::StrAppend(&text,
                    s == 0 ? "" : ",\n",
                    "{\"name\":\"service-",
                    s,
                    "\",\"address\":\"10.",
                    s / 256,
                    ".",
                    s % 256,
                    ".1\",\"classes\":[{\"name\":\"main\",\"port\":443,"
                    "\"protocol\":\"tcp\",\"occupies\":\"slot\","
                    "\"idempotent\":true}],\"targets\":[");
    bool isFirst = true;
    for (std::size_t t = s; t < aTargets; t += services) {
      absl::StrAppend(&text,
                      isFirst ? "" : ",",
                      "{\"name\":\"target-",
                      t,
                      "\",\"zone\":\"z",
                      1 + t % 5,
                      "\",\"slots\":7,\"connections\":2000}");
      isFirst = false;
    }
    text += "]}";
  }
  return text + "]}";
}

/** The list of all targets, as the platform serves it. */
std::string
makeListText(std::size_t aTargets)
{
  std::string text = "{\"instances\":[";
  for (std::size_t t = 0; t < aTargets; ++t) {
    const auto address = absl::StrCat("10.", t / 65536, ".", t / 256 % 256);
    absl::StrAppend(&text,
                    t == 0 ? "" : ",",
                    "{\"name\":\"target-",
                    t,
                    "\",\"role\":\"target\",\"zone\":\"z",
                    1 + t % 5,
                    "\",\"data\":\"",
                    address,
                    ".",
                    t % 256,
                    ":7000\",\"control\":\"",
                    address,
                    ".",
                    t % 256,
                    ":7001\",\"state\":\"live\"}");
  }
  return text + "]}";
}

double
heapMebibytes()
{
  malloc_trim(0);
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / kMebibyte;
}

double
millisecondsSince(Core::TimePoint aStart)
{
  const std::chrono::duration<double, std::milli> elapsed =
    Core::SystemClock().now() - aStart;
  return elapsed.count();
}

void
addSize(std::size_t aTargets, Records& aRecords)
{
  const auto at = absl::StrCat(" at ", aTargets, " targets");
  const Core::SystemClock clock;
  const auto text = makeDocument(aTargets, 1);
  const auto next =
    absl::StrReplaceAll(makeDocument(aTargets, 2),
                        { { "\"name\":\"target-77\",",
                            "\"name\":\"target-77\",\"draining\":true," } });
  aRecords.push_back(
    { "document" + at, static_cast<double>(text.size()) / 1000, "kB" });
  aRecords.push_back(
    { "document compressed" + at,
      static_cast<double>(Compression::compressText(text)->size()) / 1000,
      "kB" });
  auto start = clock.now();
  const auto difference = Compression::compressText(next, text);
  aRecords.push_back(
    { "making a difference" + at, millisecondsSince(start), "ms" });
  aRecords.push_back({ "difference of one target" + at,
                       static_cast<double>(difference->size()),
                       "bytes" });
  const auto before = heapMebibytes();
  start = clock.now();
  auto document = std::make_shared<const Config::Document>(
    *Config::parseDocumentOrStatus("bench", text));
  aRecords.push_back(
    { "reading a document" + at, millisecondsSince(start), "ms" });
  const auto listText = makeListText(aTargets);
  aRecords.push_back({ "instance list" + at,
                       static_cast<double>(listText.size()) / 1000,
                       "kB" });
  start = clock.now();
  const auto list = *Config::parseInstanceList("bench", listText);
  aRecords.push_back(
    { "reading an instance list" + at, millisecondsSince(start), "ms" });
  start = clock.now();
  const Routing::FleetView view(document, list);
  aRecords.push_back(
    { "building a view" + at, millisecondsSince(start), "ms" });
  aRecords.push_back({ "view with its document and list" + at,
                       heapMebibytes() - before,
                       "MiB" });
}

} // namespace

Records
runView()
{
  Records records;
  for (const std::size_t targets : { 1'300, 4'000, 13'000 }) {
    addSize(targets, records);
  }
  return records;
}

} // namespace Bench
