#pragma once

#include <cxxopts.hpp>

#include <string>
#include <vector>

/** The positional arguments after the command's name, and the options. */
struct CommandLine
{
  std::vector<std::string> arguments;
  const cxxopts::ParseResult& options;
};

/** Checks documents or settings files and prints all errors. */
int
runCheck(const CommandLine& aCommandLine);

/** Prints the revision and the digest of a document. */
int
runDigest(const CommandLine& aCommandLine);

/** Writes the compressed form of a document, for documents of about 1 MB. */
int
runPack(const CommandLine& aCommandLine);

/** Prints the settings that differ between two documents. */
int
runCompare(const CommandLine& aCommandLine);

/** Prints a document in which one more zone is evacuated. */
int
runEvacuate(const CommandLine& aCommandLine);

/** Prints a document in which an evacuated zone is in service again. */
int
runReturn(const CommandLine& aCommandLine);

/** Prints the home agents and the owner that a flow would get, and why. */
int
runExplain(const CommandLine& aCommandLine);

/** Prints the state of running processes. */
int
runStatus(const CommandLine& aCommandLine);

/** Prints the flow durations measured by running processes. */
int
runHistogram(const CommandLine& aCommandLine);

/** Prints the log lines about one flow, in order of time. */
int
runTrace(const CommandLine& aCommandLine);
