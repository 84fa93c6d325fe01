#pragma once

#include "packet/flowkey.h"

#include <cstdint>

namespace Steering {

/**
 * A hash of the flow's addresses and ports that is the same in every process.
 * Used to order targets and to identify the flow in logs.
 */
std::uint64_t
flowHash(const Packet::FlowKey& aFlow);

/**
 * The finalizer of splitmix64: a change of any input bit affects all output
 * bits.
 */
std::uint64_t
mixBits(std::uint64_t aValue);

} // namespace Steering
