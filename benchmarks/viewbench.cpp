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

/** A configuration document with aTargetCount targets, as published. */
std::string
makeDocument(std::size_t aTargetCount, std::uint64_t aRevision)
{
  const auto services =
    static_cast<std::size_t>(aTargetCount * kAddressesPerTarget) + 1;
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
    for (std::size_t t = s; t < aTargetCount; t += services) {
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

/** An instance list with aTargetCount targets, as the platform serves it. */
std::string
makeInstanceList(std::size_t aTargetCount)
{
  std::string text = "{\"instances\":[";
  for (std::size_t t = 0; t < aTargetCount; ++t) {
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
addFleetSizeRecords(std::size_t aTargetCount, Records& aRecords)
{
  const auto suffix = absl::StrCat(" at ", aTargetCount, " targets");
  const Core::SystemClock clock;
  const auto documentText = makeDocument(aTargetCount, 1);
  const auto nextDocumentText =
    absl::StrReplaceAll(makeDocument(aTargetCount, 2),
                        { { "\"name\":\"target-77\",",
                            "\"name\":\"target-77\",\"draining\":true," } });
  aRecords.push_back({ "document" + suffix,
                       static_cast<double>(documentText.size()) / 1000,
                       "kB" });
  aRecords.push_back(
    { "document compressed" + suffix,
      static_cast<double>(Compression::compressText(documentText)->size()) /
        1000,
      "kB" });
  auto start = clock.now();
  const auto difference =
    Compression::compressText(nextDocumentText, documentText);
  aRecords.push_back(
    { "making a difference" + suffix, millisecondsSince(start), "ms" });
  aRecords.push_back({ "difference of one target" + suffix,
                       static_cast<double>(difference->size()),
                       "bytes" });
  const auto mebibytesBefore = heapMebibytes();
  start = clock.now();
  auto document = std::make_shared<const Config::Document>(
    *Config::parseDocumentOrStatus("bench", documentText));
  aRecords.push_back(
    { "reading a document" + suffix, millisecondsSince(start), "ms" });
  const auto instanceListText = makeInstanceList(aTargetCount);
  aRecords.push_back({ "instance list" + suffix,
                       static_cast<double>(instanceListText.size()) / 1000,
                       "kB" });
  start = clock.now();
  const auto instanceList =
    *Config::parseInstanceList("bench", instanceListText);
  aRecords.push_back(
    { "reading an instance list" + suffix, millisecondsSince(start), "ms" });
  start = clock.now();
  const Routing::FleetView view(document, instanceList);
  aRecords.push_back(
    { "building a view" + suffix, millisecondsSince(start), "ms" });
  aRecords.push_back({ "view with its document and list" + suffix,
                       heapMebibytes() - mebibytesBefore,
                       "MiB" });
}

} // namespace

Records
runView()
{
  Records records;
  for (const std::size_t targets : { 1'300, 4'000, 13'000 }) {
    addFleetSizeRecords(targets, records);
  }
  return records;
}

} // namespace Bench
