#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Bench {

/** A measured figure. */
struct Record
{
  std::string figure;
  double value = 0;
  std::string unit;
  /** Upper bound of the value, or its lower bound if isLowerBound is true. */
  std::optional<double> target;
  bool isLowerBound = false;
  /** The same figure for an alternative to compare with, such as the ideal. */
  std::optional<double> reference;
  std::string referenceName;

  bool isMet() const;
};

using Records = std::vector<Record>;

void
printTable(const Records& aRecords);

/** Returns a JSON array with one object per record. */
std::string
toJson(const Records& aRecords);

} // namespace Bench
