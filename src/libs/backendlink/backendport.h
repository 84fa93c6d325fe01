#pragma once

#include "core/endpoint.h"
#include "packet/flowkey.h"
#include "packet/guepacket.h"
#include "transport/datagrambatch.h"

#include <absl/types/span.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace BackendLink {

/**
 * The agent's link to its backend server over UDP: whole IPv4 packets in GUE
 * both ways, and one question about the flows that the server holds.
 */
class UdpBackendPort
{
public:
  UdpBackendPort(const Transport::UdpSocket& aSocket,
                 const Core::Endpoint& aServer);

  void deliver(absl::Span<const std::uint8_t> aPacket);
  void askForFlows();
  void flush() { mSender.flush(); }

private:
  Transport::DatagramSender mSender;
  Core::Endpoint mServer;
  std::vector<std::uint8_t> mBuffer;
};

/** The flows in an answer to askForFlows(); nothing for other contents. */
std::optional<std::vector<Packet::FlowKey>>
readBackendFlows(const Packet::GuePacket& aPacket);

} // namespace BackendLink
