#pragma once

#include "packet/flowkey.h"

namespace Messages {

class FlowId;

/** Writes a flow into its message. */
void
writeFlow(const Packet::FlowKey& aFlow, FlowId& aMessage);

Packet::FlowKey
readFlow(const FlowId& aMessage);

} // namespace Messages
