#include "messages/flowid.h"

#include "messages/peermessages.pb.h"

namespace Messages {

void
writeFlow(const Packet::FlowKey& aFlow, FlowId& aMessage)
{
  aMessage.set_caller_address(aFlow.caller.address);
  aMessage.set_caller_port(aFlow.caller.port);
  aMessage.set_service_address(aFlow.service.address);
  aMessage.set_service_port(aFlow.service.port);
  aMessage.set_protocol(static_cast<std::uint32_t>(aFlow.protocol));
}

Packet::FlowKey
readFlow(const FlowId& aMessage)
{
  Packet::FlowKey flow;
  flow.caller.address = aMessage.caller_address();
  flow.caller.port = static_cast<std::uint16_t>(aMessage.caller_port());
  flow.service.address = aMessage.service_address();
  flow.service.port = static_cast<std::uint16_t>(aMessage.service_port());
  flow.protocol = static_cast<Packet::Protocol>(aMessage.protocol());
  return flow;
}

} // namespace Messages
