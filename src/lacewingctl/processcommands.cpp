#include "commands.h"

#include "exitcode.h"
#include "processpage.h"

#include <absl/strings/str_format.h>
#include <json/value.h>

#include <iostream>

namespace {

void
printStatusLine(const Json::Value& aPage)
{
  std::cout << absl::StrFormat(
    "%-16s %-9s %-10s %8d %.12s %-6s %-8s %7d %6d %5d/%-5d\n",
    aPage["name"].asString(),
    aPage["role"].asString(),
    aPage["zone"].asString(),
    aPage["revision"].asInt64(),
    aPage["digest"].asString(),
    aPage["ready"].asBool() ? "yes" : "no",
    aPage["leaving"].asBool() ? "yes" : "no",
    aPage["confirmedMillisecondsAgo"].asInt64(),
    aPage["openFlows"].asInt64(),
    aPage["slotsInUse"].asInt64(),
    aPage["slots"].asInt64());
  for (const auto& entry : aPage["evacuatedZones"]) {
    std::cout << absl::StrFormat("%-16s zone %s evacuated since revision %d\n",
                                 "",
                                 entry["zone"].asString(),
                                 entry["sinceRevision"].asInt64());
  }
}

void
printHistogramLines(const Json::Value& aPage)
{
  for (const auto& histogram : aPage) {
    std::cout << absl::StrFormat(
      "%-12s %-7s %-16s %9d %9.3f %9.3f %9.3f %9.3f\n",
      histogram["service"].asString(),
      histogram["kind"].asString(),
      histogram["name"].asString(),
      histogram["count"].asInt64(),
      histogram["p50Seconds"].asDouble(),
      histogram["p90Seconds"].asDouble(),
      histogram["p99Seconds"].asDouble(),
      histogram["maximumSeconds"].asDouble());
  }
}

/** Reads a page from each process and prints it. */
template<typename PrintPage>
int
printPages(const CommandLine& aCommandLine,
           const char* aPath,
           PrintPage aPrintPage)
{
  if (aCommandLine.arguments.empty()) {
    std::cerr << "usage: lacewingctl status|histogram ADDRESS:PORT... "
                 "[--json]\n";
    return kUsageError;
  }
  int exitCode = kSuccess;
  Json::Value pages(Json::arrayValue);
  for (const auto& endpoint : aCommandLine.arguments) {
    const auto page = readPage(endpoint, aPath);
    if (!page.ok()) {
      std::cerr << page.status().message() << "\n";
      exitCode = kAccessFailed;
      continue;
    }
    pages.append(*page);
    if (aCommandLine.options.count("json") > 0) {
      continue;
    }
    try {
      aPrintPage(*page);
    } catch (const Json::Exception& error) {
      std::cerr << "print " << aPath << ": " << endpoint << ": " << error.what()
                << "\n";
      exitCode = kAccessFailed;
    }
  }
  if (aCommandLine.options.count("json") > 0) {
    std::cout << pages.toStyledString();
  }
  return exitCode;
}

} // namespace

int
runStatus(const CommandLine& aCommandLine)
{
  if (aCommandLine.options.count("json") == 0) {
    std::cout << absl::StrFormat(
      "%-16s %-9s %-10s %8s %-12s %-6s %-8s %7s %6s %s\n",
      "name",
      "role",
      "zone",
      "revision",
      "digest",
      "ready",
      "leaving",
      "lag ms",
      "flows",
      "slots");
  }
  return printPages(aCommandLine, "/status", printStatusLine);
}

int
runHistogram(const CommandLine& aCommandLine)
{
  if (aCommandLine.options.count("json") == 0) {
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
  return printPages(aCommandLine, "/histograms", printHistogramLines);
}
