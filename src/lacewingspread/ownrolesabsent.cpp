#include "exitcode.h"
#include "ownroles.h"

#include <iostream>

int
runOwnRole(const std::string& /*aRole*/, const std::string& /*aFile*/)
{
  std::cerr << "this build has no roles but those of the platform\n";
  return kUsage;
}
