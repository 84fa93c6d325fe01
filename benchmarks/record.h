#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Bench {

/** One measured figure. */
struct Record
{
  std::string figure;
  double value = 0;
  std::string unit;
  /** What the value must not exceed; or must reach, for a lower bound. */
  std::optional<double> target;
  bool isLowerBound = false;
  /** The same figure of the naive version or the ideal, when there is one. */
  std::optional<double> reference;
  std::string referenceName;

  bool isMet() const;
};

using Records = std::vector<Record>;

/** Prints a table of the records. */
void
printTable(const Records& aRecords);

/** One JSON object for each record. */
std::string
toJson(const Records& aRecords);

} // namespace Bench
