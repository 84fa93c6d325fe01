#pragma once

#include "config/document.h"
#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Ownership {

/** The owners of the flows for which this agent is the home. */
class OwnerDirectory
{
public:
  void insert(const Packet::FlowKey& aFlow,
              Config::Identity aOwner,
              Core::TimePoint aNow);
  void erase(const Packet::FlowKey& aFlow);
  /** 0 if the owner is unknown; a found entry counts as used. */
  Config::Identity find(const Packet::FlowKey& aFlow, Core::TimePoint aNow);
  void eraseUnusedSince(Core::TimePoint aTime);
  std::size_t size() const { return mOwners.size(); }

private:
  struct Entry
  {
    Config::Identity owner;
    Core::TimePoint lastUsedAt;
  };

  absl::flat_hash_map<Packet::FlowKey, Entry> mOwners;
};

} // namespace Ownership
