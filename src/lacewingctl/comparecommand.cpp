#include "commands.h"

#include "exitcode.h"
#include "textfile.h"

#include <absl/strings/str_cat.h>

#include <iostream>
#include <map>

namespace {

/** Settings as texts, keyed by paths such as "service NAME class NAME". */
using Settings = std::map<std::string, std::string>;

std::string
formatSetting(const Config::ServiceClass& aClass)
{
  return absl::StrCat(
    "port ",
    aClass.port,
    aClass.protocol == Packet::Protocol::Udp ? "/udp" : "/tcp",
    aClass.resource == Config::Resource::Slot ? " slot" : " connection",
    aClass.idempotent ? " idempotent" : " not idempotent",
    " wait ",
    aClass.waitLimit.count(),
    " ms, idle ",
    aClass.idleTimeout.count(),
    " ms");
}

std::string
formatSetting(const Config::Target& aTarget)
{
  return absl::StrCat("zone ",
                      aTarget.zone,
                      ", ",
                      aTarget.slots,
                      " slots, ",
                      aTarget.connections,
                      " connections",
                      aTarget.draining ? ", draining" : "");
}

Settings
collectSettings(const Config::Document& aDocument)
{
  Settings settings;
  settings["revision"] = absl::StrCat(aDocument.revision);
  settings["replayWindow"] =
    absl::StrCat(aDocument.replayWindow.count(), " ms");
  settings["drainDeadline"] =
    absl::StrCat(aDocument.drainDeadline.count(), " ms");
  settings["slowStart"] = absl::StrCat(aDocument.slowStart.count(), " ms");
  for (const auto& zone : aDocument.evacuatedZones) {
    settings["evacuated zone " + zone.name] =
      absl::StrCat("since revision ", zone.sinceRevision);
  }
  for (const auto& member : aDocument.members) {
    settings["member " + member.name] =
      absl::StrCat(Core::formatAddress(member.address),
                   "/",
                   member.prefixLength,
                   ", ",
                   member.slotShare,
                   "% of the slots");
  }
  for (const auto& service : aDocument.services) {
    const auto path = "service " + service.name;
    settings[path] = Core::formatAddress(service.address);
    for (const auto& serviceClass : service.classes) {
      settings[path + " class " + serviceClass.name] =
        formatSetting(serviceClass);
    }
    for (const auto& target : service.targets) {
      settings[path + " target " + target.name] = formatSetting(target);
    }
  }
  return settings;
}

int
printDifferences(const Settings& aOld, const Settings& aNew)
{
  int exitCode = kSuccess;
  for (const auto& [path, value] : aOld) {
    const auto it = aNew.find(path);
    if (it == aNew.end()) {
      std::cout << "- " << path << ": " << value << "\n";
      exitCode = kNegativeResult;
    } else if (it->second != value) {
      std::cout << "~ " << path << ": " << value << " -> " << it->second
                << "\n";
      exitCode = kNegativeResult;
    }
  }
  for (const auto& [path, value] : aNew) {
    if (!aOld.contains(path)) {
      std::cout << "+ " << path << ": " << value << "\n";
      exitCode = kNegativeResult;
    }
  }
  return exitCode;
}

} // namespace

int
runCompare(const CommandLine& aCommandLine)
{
  if (aCommandLine.arguments.size() != 2) {
    std::cerr << "usage: lacewingctl compare FILE FILE\n";
    return kUsageError;
  }
  std::vector<Settings> settings;
  for (const auto& fileName : aCommandLine.arguments) {
    const auto file = readDocumentFile(fileName);
    if (!file.ok()) {
      return reportReadError(file.status());
    }
    settings.push_back(collectSettings(file->document));
  }
  return printDifferences(settings[0], settings[1]);
}
