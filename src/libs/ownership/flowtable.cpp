#include "ownership/flowtable.h"

#include <algorithm>

namespace Ownership {

OwnedFlow*
FlowTable::find(const Packet::FlowKey& aFlow)
{
  const auto it = mFlows.find(aFlow);
  return it == mFlows.end() ? nullptr : &it->second;
}

OwnedFlow&
FlowTable::insert(const Packet::FlowKey& aFlow, const OwnedFlow& aOwnedFlow)
{
  return mFlows.insert_or_assign(aFlow, aOwnedFlow).first->second;
}

void
FlowTable::erase(const Packet::FlowKey& aFlow)
{
  mFlows.erase(aFlow);
}

std::size_t
FlowTable::openCount() const
{
  return std::count_if(mFlows.begin(), mFlows.end(), [](const auto& aEntry) {
    return aEntry.second.state != FlowState::Ended;
  });
}

void
FlowTable::forEach(const Visitor& aVisitor)
{
  for (auto& [flow, ownedFlow] : mFlows) {
    aVisitor(flow, ownedFlow);
  }
}

void
FlowTable::eraseIf(const Predicate& aPredicate)
{
  absl::erase_if(mFlows, [&aPredicate](const auto& aEntry) {
    return aPredicate(aEntry.first, aEntry.second);
  });
}

} // namespace Ownership
