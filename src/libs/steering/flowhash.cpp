#include "steering/flowhash.h"

#include "steering/fleetmap.h"

namespace Steering {

std::uint64_t
mixBits(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xBF58476D1CE4E5B9ULL;
  aValue ^= aValue >> 27U;
  aValue *= 0x94D049BB133111EBULL;
  return aValue ^ (aValue >> 31U);
}

std::uint64_t
flowHash(const Packet::FlowKey& aFlow)
{
  return mixBits(endpointKey(aFlow.caller) ^
                 mixBits(endpointKey(aFlow.service)));
}

} // namespace Steering
