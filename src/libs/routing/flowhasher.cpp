#include "routing/flowhasher.h"

#include "packet/byteorder.h"

#include <sodium.h>

namespace Routing {

static_assert(std::tuple_size_v<Config::FlowHashKey> ==
              crypto_shorthash_KEYBYTES);

FlowHasher::FlowHasher(const Config::FlowHashKey& aKey)
  : mKey(aKey)
{
}

std::uint64_t
FlowHasher::hash(const Packet::FlowKey& aFlow) const
{
  std::array<std::uint8_t, 13> data{};
  Packet::store32(&data[0], aFlow.caller.address);
  Packet::store16(&data[4], aFlow.caller.port);
  Packet::store32(&data[6], aFlow.service.address);
  Packet::store16(&data[10], aFlow.service.port);
  data[12] = static_cast<std::uint8_t>(aFlow.protocol);
  std::uint64_t flowHash = 0;
  crypto_shorthash(reinterpret_cast<unsigned char*>(&flowHash),
                   data.data(),
                   data.size(),
                   mKey.data());
  return flowHash;
}

} // namespace Routing
