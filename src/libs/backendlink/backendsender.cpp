#include "backendlink/backendsender.h"

#include "messages/flowid.h"
#include "messages/peermessages.pb.h"

namespace BackendLink {

UdpBackendSender::UdpBackendSender(const Transport::UdpSocket& aSocket,
                                   const Core::Endpoint& aServer)
  : mSender(aSocket,
            Transport::DatagramReceiver::kMaxDatagramBytes,
            Transport::kMaxDatagramAge)
  , mServer(aServer)
{
}

void
UdpBackendSender::deliver(absl::Span<const std::uint8_t> aPacket)
{
  mBuffer.clear();
  Packet::GuePacket gue;
  gue.body = aPacket;
  gue.appendTo(mBuffer);
  mSender.send(mServer, mBuffer);
}

void
UdpBackendSender::requestFlows()
{
  Messages::BackendMessage message;
  message.mutable_flows_request();
  const auto serialized = message.SerializeAsString();
  mBuffer.clear();
  Packet::GuePacket gue;
  gue.content = Packet::GueContent::ControlMessage;
  gue.body = absl::MakeConstSpan(
    reinterpret_cast<const std::uint8_t*>(serialized.data()),
    serialized.size());
  gue.appendTo(mBuffer);
  mSender.send(mServer, mBuffer);
}

std::optional<std::vector<Packet::FlowKey>>
readBackendFlows(const Packet::GuePacket& aPacket)
{
  Messages::BackendMessage message;
  const auto bodySize = static_cast<int>(aPacket.body.size());
  if (aPacket.content != Packet::GueContent::ControlMessage ||
      !message.ParseFromArray(aPacket.body.data(), bodySize) ||
      !message.has_flows()) {
    return std::nullopt;
  }
  std::vector<Packet::FlowKey> flows;
  for (const auto& flow : message.flows().flows()) {
    flows.push_back(Messages::readFlow(flow));
  }
  return flows;
}

} // namespace BackendLink
