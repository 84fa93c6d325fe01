#pragma once

#include "platform/storesnapshot.h"

#include "steering/maprevision.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Standins {

/** The history of a key-value store that can be restored from an older copy. */
class StoreLog
{
public:
  void put(const std::string& aKey, const std::string& aValue);
  void erase(const std::string& aKey);
  /**
   * Discards the last aLostChanges changes and begins a new era, in which their
   * revisions are given out again.
   */
  void restore(std::size_t aLostChanges);
  void setEra(std::uint32_t aEra) { mEra = aEra; }

  Steering::MapRevision revision() const;
  /** The current items, ordered by key. */
  std::vector<Platform::StoreItem> items() const;
  /** The changes of the current era's history after a revision. */
  std::vector<Platform::StoreItem> changesAfter(std::uint64_t aChange) const;

private:
  void append(Platform::StoreItem aItem);

  std::uint32_t mEra = 1;
  std::vector<Platform::StoreItem> mChanges;
};

} // namespace Standins
