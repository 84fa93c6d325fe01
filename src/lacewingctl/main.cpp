#include "commands.h"

#include "exitcode.h"

#include <iostream>

namespace {

constexpr const char* kCommandsHelp =
  "Commands:\n"
  "  check [--kind document|balancer|agent] FILE...  prints all errors\n"
  "  digest FILE                    revision and digest of a document\n"
  "  pack FILE OUTPUT               compressed form of a large document\n"
  "  compare FILE FILE              differences between two documents\n"
  "  evacuate FILE ZONE             the document with the zone evacuated\n"
  "  return FILE ZONE               the document with the zone in service\n"
  "  explain FILE --from A:P --to A:P --protocol tcp|udp --key HEX\n"
  "          [--agent A:P]...\n"
  "                                 home agents and owner of a flow, and why\n"
  "  status A:P...                  state of running processes\n"
  "  histogram A:P...               flow durations by class and member\n"
  "  trace FLOW|CALLER FILE...      log lines about one flow\n"
  "\n"
  "Exit codes: 0 success, 1 errors or differences found, or nothing found,\n"
  "2 usage error, 3 a file or process cannot be read.\n";

cxxopts::Options
makeOptions()
{
  cxxopts::Options options(
    "lacewingctl", "Inspects configuration documents and running processes.");
  options.positional_help("COMMAND ARGUMENT...");
  auto add = options.add_options();
  add("words",
      "command and its arguments",
      cxxopts::value<std::vector<std::string>>());
  add("kind",
      "kind of files to check",
      cxxopts::value<std::string>()->default_value("document"));
  add("from", "address and port of the caller", cxxopts::value<std::string>());
  add("to", "address and port of the service", cxxopts::value<std::string>());
  add("protocol",
      "tcp or udp",
      cxxopts::value<std::string>()->default_value("tcp"));
  add("key", "flowHashKey from the settings", cxxopts::value<std::string>());
  add("agent",
      "status endpoint of an agent that may own the flow; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("json", "print the result as JSON");
  add("help", "print this help");
  add("version", "print the version");
  options.parse_positional({ "words" });
  return options;
}

int
runCommand(int aCount, char** aArguments)
{
  auto options = makeOptions();
  const auto result = options.parse(aCount, aArguments);
  if (result.count("help") > 0) {
    std::cout << options.help() << "\n" << kCommandsHelp;
    return kSuccess;
  }
  if (result.count("version") > 0) {
    std::cout << "lacewingctl " LACEWING_VERSION "\n";
    return kSuccess;
  }
  std::vector<std::string> arguments;
  if (result.count("words") > 0) {
    arguments = result["words"].as<std::vector<std::string>>();
  }
  const auto command = arguments.empty() ? std::string() : arguments.front();
  if (!arguments.empty()) {
    arguments.erase(arguments.begin());
  }
  const CommandLine commandLine{ arguments, result };
  if (command == "check") {
    return runCheck(commandLine);
  }
  if (command == "digest") {
    return runDigest(commandLine);
  }
  if (command == "pack") {
    return runPack(commandLine);
  }
  if (command == "compare") {
    return runCompare(commandLine);
  }
  if (command == "evacuate") {
    return runEvacuate(commandLine);
  }
  if (command == "return") {
    return runReturn(commandLine);
  }
  if (command == "explain") {
    return runExplain(commandLine);
  }
  if (command == "status") {
    return runStatus(commandLine);
  }
  if (command == "histogram") {
    return runHistogram(commandLine);
  }
  if (command == "trace") {
    return runTrace(commandLine);
  }
  std::cerr << kCommandsHelp;
  return kUsageError;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return runCommand(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsageError;
  }
}
