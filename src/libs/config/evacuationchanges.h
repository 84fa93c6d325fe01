#pragma once

#include "config/document.h"

#include <string>
#include <vector>

namespace Config {

/** The differences in evacuated zones between two revisions. */
struct EvacuationChanges
{
  /** Includes zones that were in service for some revisions in between. */
  std::vector<EvacuatedZone> evacuated;
  /** Names of the zones that are back in service. */
  std::vector<std::string> returned;
};

/** aBefore may be null; then no zone was evacuated before. */
EvacuationChanges
findEvacuationChanges(const Document* aBefore, const Document& aAfter);

} // namespace Config
