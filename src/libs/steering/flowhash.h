#pragma once

#include "packet/flowkey.h"

#include <cstdint>

namespace Steering {

/**
 * A number for a flow that follows from its addresses and ports alone; the
 * same in every process. It orders targets, and names the flow in logs.
 */
std::uint64_t
flowHash(const Packet::FlowKey& aFlow);

/** Finalizer of splitmix64: spreads any change over all bits. */
std::uint64_t
mixBits(std::uint64_t aValue);

} // namespace Steering
