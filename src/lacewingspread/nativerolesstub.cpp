#include "exitcode.h"
#include "nativeroles.h"

#include <iostream>

int
runNativeRole(const std::string& /*aRole*/,
              const std::string& /*aSettingsFile*/)
{
  std::cerr << "this build has no native interface; use --platform\n";
  return kUsageError;
}
