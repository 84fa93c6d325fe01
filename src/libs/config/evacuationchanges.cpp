#include "config/evacuationchanges.h"

#include <algorithm>

namespace Config {

EvacuationChanges
findEvacuationChanges(const Document* aBefore, const Document& aAfter)
{
  static const std::vector<EvacuatedZone> sNone;
  const auto& before = aBefore == nullptr ? sNone : aBefore->evacuatedZones;
  EvacuationChanges changes;
  for (const auto& zone : aAfter.evacuatedZones) {
    if (std::find(before.begin(), before.end(), zone) == before.end()) {
      changes.evacuated.push_back(zone);
    }
  }
  for (const auto& zone : before) {
    if (!aAfter.isZoneEvacuated(zone.name)) {
      changes.returned.push_back(zone.name);
    }
  }
  return changes;
}

} // namespace Config
