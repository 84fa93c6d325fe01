#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <absl/strings/string_view.h>

namespace Steering {

/**
 * Position in the history of the platform's data. Revisions are ordered by era
 * first: a restore from an older copy begins a new era, in which the numbers of
 * lost changes are used again.
 */
struct MapRevision
{
  /** Increases each time the platform's data was restored from a copy. */
  std::uint32_t era = 0;
  /** Increases with each change within an era. */
  std::uint64_t change = 0;

  /** Whether this is the position before the first change. */
  bool isNull() const { return era == 0 && change == 0; }
  friend auto operator<=>(const MapRevision&, const MapRevision&) = default;
};

/** Text such as "2:1205", for logs and for queries to peers. */
std::string
formatMapRevision(const MapRevision& aRevision);

/** Parses the text that formatMapRevision() returns. */
std::optional<MapRevision>
parseMapRevision(absl::string_view aText);

} // namespace Steering
