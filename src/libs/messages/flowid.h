#pragma once

#include "packet/flowkey.h"

namespace Messages {

class FlowId;

/** Fills in aMessage from aFlow. */
void
writeFlow(const Packet::FlowKey& aFlow, FlowId& aMessage);

Packet::FlowKey
readFlow(const FlowId& aMessage);

} // namespace Messages
