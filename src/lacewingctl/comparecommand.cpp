#include "commands.h"

#include "exitcode.h"
#include "textfile.h"

#include <absl/strings/str_cat.h>

#include <iostream>
#include <map>

namespace {

/** Every setting of a document by its place, in words. */
using Settings = std::map<std::string, std::string>;

std::string
wordsOf(const Config::ServiceClass& aClass)
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
wordsOf(const Config::Target& aTarget)
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
settingsOf(const Config::Document& aDocument)
{
  Settings settings;
  settings["revision"] = absl::StrCat(aDocument.revision);
  settings["replayWindow"] =
    absl::StrCat(aDocument.replayWindow.count(), " ms");
  settings["drainDeadline"] =
    absl::StrCat(aDocument.drainDeadline.count(), " ms");
  settings["slowStart"] = absl::StrCat(aDocument.slowStart.count(), " ms");
  for (const auto& it : aDocument.members) {
    settings["member " + it.name] =
      absl::StrCat(Core::formatAddress(it.address),
                   "/",
                   it.prefixLength,
                   ", ",
                   it.slotShare,
                   "% of the slots");
  }
  for (const auto& service : aDocument.services) {
    const auto place = "service " + service.name;
    settings[place] = Core::formatAddress(service.address);
    for (const auto& it : service.classes) {
      settings[place + " class " + it.name] = wordsOf(it);
    }
    for (const auto& it : service.targets) {
      settings[place + " target " + it.name] = wordsOf(it);
    }
  }
  return settings;
}

int
printDifferences(const Settings& aBefore, const Settings& aAfter)
{
  int code = kSuccess;
  for (const auto& [place, words] : aBefore) {
    const auto it = aAfter.find(place);
    if (it == aAfter.end()) {
      std::cout << "- " << place << ": " << words << "\n";
      code = kNegative;
    } else if (it->second != words) {
      std::cout << "~ " << place << ": " << words << " -> " << it->second
                << "\n";
      code = kNegative;
    }
  }
  for (const auto& [place, words] : aAfter) {
    if (!aBefore.contains(place)) {
      std::cout << "+ " << place << ": " << words << "\n";
      code = kNegative;
    }
  }
  return code;
}

} // namespace

int
runCompare(const CommandLine& aLine)
{
  if (aLine.words.size() != 2) {
    std::cerr << "usage: lacewingctl compare FILE FILE\n";
    return kUsage;
  }
  std::vector<Settings> settings;
  for (const auto& file : aLine.words) {
    const auto read = readDocumentFile(file);
    if (!read.ok()) {
      return reportUnusable(read.status());
    }
    settings.push_back(settingsOf(read->document));
  }
  return printDifferences(settings[0], settings[1]);
}
