#include "scenariorunner.h"

#include <fstream>
#include <iostream>
#include <sstream>

int
main(int aCount, char** aArguments)
{
  int failed = 0;
  for (int i = 1; i < aCount; ++i) {
    std::stringstream text;
    text << std::ifstream(aArguments[i]).rdbuf();
    const auto scenario = Scenarios::parseScenario(aArguments[i], text.str());
    const auto status =
      scenario.ok() ? Scenarios::runScenario(*scenario) : scenario.status();
    if (!status.ok()) {
      ++failed;
      std::cout << status.message() << "\n";
    }
  }
  std::cout << aCount - 1 - failed << " passed, " << failed << " failed\n";
  return aCount > 1 && failed == 0 ? 0 : 1;
}
