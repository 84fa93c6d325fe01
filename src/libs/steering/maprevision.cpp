#include "steering/maprevision.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <utility>
#include <vector>

namespace Steering {

std::string
formatMapRevision(const MapRevision& aRevision)
{
  return absl::StrCat(aRevision.era, ":", aRevision.change);
}

std::optional<MapRevision>
parseMapRevision(absl::string_view aText)
{
  const std::vector<absl::string_view> parts = absl::StrSplit(aText, ':');
  MapRevision revision;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &revision.era) ||
      !absl::SimpleAtoi(parts[1], &revision.change)) {
    return std::nullopt;
  }
  return revision;
}

} // namespace Steering
