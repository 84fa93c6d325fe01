#pragma once

#include <cxxopts.hpp>

#include <string>
#include <vector>

/** The words after the command's name and the options. */
struct CommandLine
{
  std::vector<std::string> words;
  const cxxopts::ParseResult& options;
};

/** Checks documents and settings; prints every fault. */
int
runCheck(const CommandLine& aLine);

/** Prints the digest of a document. */
int
runDigest(const CommandLine& aLine);

/** Writes the packed form of a document, for values of a megabyte. */
int
runPack(const CommandLine& aLine);

/** Prints what differs between two documents. */
int
runCompare(const CommandLine& aLine);

/** Tells where a flow would go, and why. */
int
runExplain(const CommandLine& aLine);

/** Prints the state of running processes. */
int
runStatus(const CommandLine& aLine);

/** Prints the histograms of running processes. */
int
runHistogram(const CommandLine& aLine);

/** Prints what logs tell about one flow, in order of time. */
int
runTrace(const CommandLine& aLine);
