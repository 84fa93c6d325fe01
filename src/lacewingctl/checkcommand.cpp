#include "commands.h"

#include "exitcode.h"
#include "textfile.h"

#include "compression/textcodec.h"
#include "config/documentparser.h"
#include "config/settings.h"

#include <fstream>
#include <iostream>

namespace {

/** What a file is taken for. */
Config::Diagnostics
faultsOf(const std::string& aKind,
         const std::string& aFile,
         const std::string& aText)
{
  const auto faults = [](auto aResult) {
    auto* list = std::get_if<Config::Diagnostics>(&aResult);
    return list == nullptr ? Config::Diagnostics{} : std::move(*list);
  };
  if (aKind == "balancer") {
    return faults(Config::parseBalancerSettings(aFile, aText));
  }
  if (aKind == "agent") {
    return faults(Config::parseAgentSettings(aFile, aText));
  }
  return faults(Config::parseDocument(aFile, aText));
}

} // namespace

int
runCheck(const CommandLine& aLine)
{
  if (aLine.words.empty()) {
    std::cerr << "usage: lacewingctl check [--kind KIND] FILE...\n";
    return kUsage;
  }
  const auto kind = aLine.options["kind"].as<std::string>();
  if (kind != "document" && kind != "balancer" && kind != "agent") {
    std::cerr << "--kind: expected document, balancer or agent\n";
    return kUsage;
  }
  int code = kSuccess;
  for (const auto& file : aLine.words) {
    const auto text = readTextFile(file);
    if (!text.ok()) {
      std::cerr << text.status().message() << "\n";
      return kUnreadable;
    }
    const auto faults = faultsOf(kind, file, *text);
    for (const auto& it : faults) {
      std::cout << it.toString() << "\n";
      code = kNegative;
    }
    if (faults.empty()) {
      std::cout << file << ": ok\n";
    }
  }
  return code;
}

int
runDigest(const CommandLine& aLine)
{
  if (aLine.words.size() != 1) {
    std::cerr << "usage: lacewingctl digest FILE\n";
    return kUsage;
  }
  const auto file = readDocumentFile(aLine.words[0]);
  if (!file.ok()) {
    return reportUnusable(file.status());
  }
  std::cout << "revision " << file->document.revision << " digest "
            << file->document.digest << "\n";
  return kSuccess;
}

int
runPack(const CommandLine& aLine)
{
  if (aLine.words.size() != 2) {
    std::cerr << "usage: lacewingctl pack FILE OUTPUT\n";
    return kUsage;
  }
  const auto file = readDocumentFile(aLine.words[0]);
  if (!file.ok()) {
    return reportUnusable(file.status());
  }
  const auto packed = Compression::compressText(file->text);
  std::ofstream output(aLine.words[1], std::ios::binary);
  if (!packed.ok() || !(output << *packed)) {
    std::cerr << aLine.words[1] << ": cannot be written\n";
    return kUnreadable;
  }
  std::cout << file->text.size() << " bytes, packed " << packed->size() << "\n";
  return kSuccess;
}
