#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Ownership {

/** A home's memory of the owners of its flows. */
class OwnerDirectory
{
public:
  void insert(const Packet::FlowKey& aFlow,
              Config::Identity aOwner,
              Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow);
  /** 0 when the owner is not known. */
  Config::Identity find(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  void eraseUnusedSince(Core::TimePoint aTime);
  std::size_t size() const { return mOwners.size(); }

private:
  struct Entry
  {
    Config::Identity owner;
    Core::TimePoint usedAt;
  };

  absl::flat_hash_map<Packet::FlowKey, Entry> mOwners;
};

} // namespace Ownership
