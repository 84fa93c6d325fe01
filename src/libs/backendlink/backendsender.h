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
 * Sends UDP datagrams to the agent's backend server: complete IPv4 packets in
 * GUE, and requests for the flows that the server has.
 */
class UdpBackendSender
{
public:
  UdpBackendSender(const Transport::UdpSocket& aSocket,
                   const Core::Endpoint& aServer);

  /** Queues a packet for the backend server. */
  void deliver(absl::Span<const std::uint8_t> aPacket);
  /** Queues a request for the flows that the backend server has. */
  void requestFlows();
  void flush() { mSender.flush(); }

private:
  Transport::DatagramSender mSender;
  Core::Endpoint mServer;
  std::vector<std::uint8_t> mBuffer;
};

/** The flows in a reply to requestFlows(); std::nullopt for other packets. */
std::optional<std::vector<Packet::FlowKey>>
readBackendFlows(const Packet::GuePacket& aPacket);

} // namespace BackendLink
