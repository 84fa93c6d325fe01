#pragma once

#include "config/settings.h"
#include "packet/flowkey.h"

#include <cstdint>

namespace Routing {

/**
 * Computes the SipHash-2-4 of a flow with the environment's key, so that a
 * caller cannot choose addresses that all hash to the same home.
 */
class FlowHasher
{
public:
  explicit FlowHasher(const Config::FlowHashKey& aKey);

  std::uint64_t hash(const Packet::FlowKey& aFlow) const;

private:
  Config::FlowHashKey mKey;
};

} // namespace Routing
