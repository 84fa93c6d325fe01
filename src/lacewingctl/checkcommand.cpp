#include "commands.h"

#include "exitcode.h"
#include "textfile.h"

#include "compression/textcodec.h"
#include "config/documentparser.h"
#include "config/settings.h"

#include <fstream>
#include <iostream>

namespace {

/** Parses a file of the given kind and returns the errors found. */
Config::Diagnostics
findErrors(const std::string& aKind,
           const std::string& aFile,
           const std::string& aText)
{
  const auto extractErrors = [](auto aResult) {
    auto* errors = std::get_if<Config::Diagnostics>(&aResult);
    return errors == nullptr ? Config::Diagnostics{} : std::move(*errors);
  };
  if (aKind == "balancer") {
    return extractErrors(Config::parseBalancerSettings(aFile, aText));
  }
  if (aKind == "agent") {
    return extractErrors(Config::parseAgentSettings(aFile, aText));
  }
  return extractErrors(Config::parseDocument(aFile, aText));
}

} // namespace

int
runCheck(const CommandLine& aCommandLine)
{
  if (aCommandLine.arguments.empty()) {
    std::cerr << "usage: lacewingctl check [--kind KIND] FILE...\n";
    return kUsageError;
  }
  const auto kind = aCommandLine.options["kind"].as<std::string>();
  if (kind != "document" && kind != "balancer" && kind != "agent") {
    std::cerr << "--kind: expected document, balancer or agent\n";
    return kUsageError;
  }
  int exitCode = kSuccess;
  for (const auto& file : aCommandLine.arguments) {
    const auto text = readTextFile(file);
    if (!text.ok()) {
      std::cerr << text.status().message() << "\n";
      return kAccessFailed;
    }
    const auto errors = findErrors(kind, file, *text);
    for (const auto& error : errors) {
      std::cout << error.toString() << "\n";
      exitCode = kNegativeResult;
    }
    if (errors.empty()) {
      std::cout << file << ": ok\n";
    }
  }
  return exitCode;
}

int
runDigest(const CommandLine& aCommandLine)
{
  if (aCommandLine.arguments.size() != 1) {
    std::cerr << "usage: lacewingctl digest FILE\n";
    return kUsageError;
  }
  const auto file = readDocumentFile(aCommandLine.arguments[0]);
  if (!file.ok()) {
    return reportReadError(file.status());
  }
  std::cout << "revision " << file->document.revision << " digest "
            << file->document.digest << "\n";
  return kSuccess;
}

int
runPack(const CommandLine& aCommandLine)
{
  if (aCommandLine.arguments.size() != 2) {
    std::cerr << "usage: lacewingctl pack FILE OUTPUT\n";
    return kUsageError;
  }
  const auto file = readDocumentFile(aCommandLine.arguments[0]);
  if (!file.ok()) {
    return reportReadError(file.status());
  }
  const auto compressed = Compression::compressText(file->text);
  std::ofstream output(aCommandLine.arguments[1], std::ios::binary);
  if (!compressed.ok() || !(output << *compressed)) {
    std::cerr << aCommandLine.arguments[1] << ": cannot be written\n";
    return kAccessFailed;
  }
  std::cout << file->text.size() << " bytes, compressed " << compressed->size()
            << "\n";
  return kSuccess;
}
