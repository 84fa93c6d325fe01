#include "commands.h"

#include "exitcode.h"

#include <iostream>

namespace {

constexpr const char* kUsageText =
  "Commands:\n"
  "  check [--kind document|balancer|agent] FILE...  every fault of a file\n"
  "  digest FILE                    revision and digest of a document\n"
  "  pack FILE OUTPUT               the packed form of a large document\n"
  "  compare FILE FILE              what differs between two documents\n"
  "  explain FILE --from A:P --to A:P --protocol tcp|udp --key HEX\n"
  "          [--agent A:P]...\n"
  "                                 where a flow would go, and why\n"
  "  status A:P...                  state of running processes\n"
  "  histogram A:P...               flow durations by class and member\n"
  "  trace FLOW|CALLER FILE...      what logs tell about one flow\n"
  "\n"
  "Exit codes: 0 yes, 1 no, 2 usage, 3 a file or process cannot be read.\n";

cxxopts::Options
makeOptions()
{
  cxxopts::Options options("lacewingctl", "The operator's tool.");
  options.positional_help("COMMAND WORD...");
  auto add = options.add_options();
  add("words", "command and words", cxxopts::value<std::vector<std::string>>());
  add("kind",
      "kind of the files to check",
      cxxopts::value<std::string>()->default_value("document"));
  add("from", "caller's address and port", cxxopts::value<std::string>());
  add("to", "service's address and port", cxxopts::value<std::string>());
  add("protocol",
      "tcp or udp",
      cxxopts::value<std::string>()->default_value("tcp"));
  add("key", "flowHashKey of the settings", cxxopts::value<std::string>());
  add("agent",
      "status endpoints of agents, to name the owner of a new flow",
      cxxopts::value<std::vector<std::string>>());
  add("json", "print JSON");
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
    std::cout << options.help() << "\n" << kUsageText;
    return kSuccess;
  }
  if (result.count("version") > 0) {
    std::cout << "lacewingctl " LACEWING_VERSION "\n";
    return kSuccess;
  }
  std::vector<std::string> words;
  if (result.count("words") > 0) {
    words = result["words"].as<std::vector<std::string>>();
  }
  const auto command = words.empty() ? std::string() : words.front();
  if (!words.empty()) {
    words.erase(words.begin());
  }
  const CommandLine line{ words, result };
  if (command == "check") {
    return runCheck(line);
  }
  if (command == "digest") {
    return runDigest(line);
  }
  if (command == "pack") {
    return runPack(line);
  }
  if (command == "compare") {
    return runCompare(line);
  }
  if (command == "explain") {
    return runExplain(line);
  }
  if (command == "status") {
    return runStatus(line);
  }
  if (command == "histogram") {
    return runHistogram(line);
  }
  if (command == "trace") {
    return runTrace(line);
  }
  std::cerr << kUsageText;
  return kUsage;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    return runCommand(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kUsage;
  }
}
