#include "commands.h"

#include "exitcode.h"

#include "core/endpoint.h"
#include "core/errorcontext.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <httplib.h>
#include <json/reader.h>
#include <json/value.h>

#include <iostream>

namespace {

constexpr std::chrono::seconds kTimeout{ 3 };
constexpr int kOk = 200;

/** The JSON page of one process; errors tell the step and the peer. */
absl::StatusOr<Json::Value>
readPage(const std::string& aEndpoint, const char* aPath)
{
  const auto endpoint = Core::parseEndpoint(aEndpoint);
  if (!endpoint.ok()) {
    return endpoint.status();
  }
  const auto step = absl::StrCat("read ", aPath);
  httplib::Client client(Core::formatAddress(endpoint->address),
                         endpoint->port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const auto result = client.Get(aPath);
  if (!result || result->status != kOk) {
    return Core::withContext(
      absl::UnavailableError("no answer"), step, aEndpoint);
  }
  Json::Value page;
  if (!Json::Reader().parse(result->body, page)) {
    return Core::withContext(
      absl::DataLossError("the answer is not JSON"), step, aEndpoint);
  }
  return page;
}

void
printStatusLine(const Json::Value& aPage)
{
  std::cout << absl::StrFormat(
    "%-16s %-9s %-10s %8d %.12s %-6s %-8s %6d %5d/%-5d\n",
    aPage["name"].asString(),
    aPage["role"].asString(),
    aPage["zone"].asString(),
    aPage["revision"].asInt64(),
    aPage["digest"].asString(),
    aPage["ready"].asBool() ? "yes" : "no",
    aPage["leaving"].asBool() ? "yes" : "no",
    aPage["openFlows"].asInt64(),
    aPage["slotsInUse"].asInt64(),
    aPage["slots"].asInt64());
}

void
printHistogramLines(const Json::Value& aPage)
{
  for (const auto& it : aPage) {
    std::cout << absl::StrFormat(
      "%-12s %-7s %-16s %9d %9.3f %9.3f %9.3f %9.3f\n",
      it["service"].asString(),
      it["kind"].asString(),
      it["name"].asString(),
      it["count"].asInt64(),
      it["p50Seconds"].asDouble(),
      it["p90Seconds"].asDouble(),
      it["p99Seconds"].asDouble(),
      it["maximumSeconds"].asDouble());
  }
}

/** Reads one page of each process and prints all of them. */
template<typename Print>
int
printPages(const CommandLine& aLine, const char* aPath, Print aPrint)
{
  if (aLine.words.empty()) {
    std::cerr << "usage: lacewingctl status|histogram ADDRESS:PORT... "
                 "[--json]\n";
    return kUsage;
  }
  int code = kSuccess;
  Json::Value pages(Json::arrayValue);
  for (const auto& endpoint : aLine.words) {
    const auto page = readPage(endpoint, aPath);
    if (!page.ok()) {
      std::cerr << page.status().message() << "\n";
      code = kUnreadable;
      continue;
    }
    pages.append(*page);
    if (aLine.options.count("json") == 0) {
      aPrint(*page);
    }
  }
  if (aLine.options.count("json") > 0) {
    std::cout << pages.toStyledString();
  }
  return code;
}

} // namespace

int
runStatus(const CommandLine& aLine)
{
  if (aLine.options.count("json") == 0) {
    std::cout << absl::StrFormat(
      "%-16s %-9s %-10s %8s %-12s %-6s %-8s %6s %s\n",
      "name",
      "role",
      "zone",
      "revision",
      "digest",
      "ready",
      "leaving",
      "flows",
      "slots");
  }
  return printPages(aLine, "/status", printStatusLine);
}

int
runHistogram(const CommandLine& aLine)
{
  if (aLine.options.count("json") == 0) {
    std::cout << absl::StrFormat("%-12s %-7s %-16s %9s %9s %9s %9s %9s\n",
                                 "service",
                                 "kind",
                                 "name",
                                 "flows",
                                 "p50 s",
                                 "p90 s",
                                 "p99 s",
                                 "max s");
  }
  return printPages(aLine, "/histograms", printHistogramLines);
}
