#include "ownership/ownerdirectory.h"

namespace Ownership {

void
OwnerDirectory::insert(const Packet::FlowKey& aFlow,
                       Config::Identity aOwner,
                       Core::TimePoint aNow)
{
  mOwners[aFlow] = { aOwner, aNow };
}

void
OwnerDirectory::erase(const Packet::FlowKey& aFlow)
{
  mOwners.erase(aFlow);
}

Config::Identity
OwnerDirectory::find(const Packet::FlowKey& aFlow, Core::TimePoint aNow)
{
  const auto it = mOwners.find(aFlow);
  if (it == mOwners.end()) {
    return 0;
  }
  it->second.lastUsedAt = aNow;
  return it->second.owner;
}

void
OwnerDirectory::eraseUnusedSince(Core::TimePoint aTime)
{
  absl::erase_if(mOwners, [aTime](const auto& aEntry) {
    return aEntry.second.lastUsedAt < aTime;
  });
}

} // namespace Ownership
