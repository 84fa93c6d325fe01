#include "exitcode.h"
#include "nativeroles.h"

#include <iostream>

int
runNativeRole(const std::string& /*aRole*/, const std::string& /*aFile*/)
{
  std::cerr << "this build only supports roles on the platform\n";
  return kUsageError;
}
