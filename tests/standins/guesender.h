#pragma once

#include "packet/guepacket.h"
#include "packet/packetbuilder.h"
#include "transport/datagrambatch.h"
#include "transport/udpsocket.h"

#include <vector>

namespace StandIns {

/** Sends IPv4 packets, encapsulated in GUE, to one endpoint. */
class GueSender
{
public:
  GueSender(const Transport::UdpSocket& aSocket, const Core::Endpoint& aTo)
    : mSender(aSocket)
    , mTo(aTo)
  {
  }

  void send(const Packet::Bytes& aPacket)
  {
    mBuffer.clear();
    Packet::GuePacket gue;
    gue.body = aPacket;
    gue.appendTo(mBuffer);
    mSender.send(mTo, mBuffer);
  }
  void flush() { mSender.flush(); }

private:
  Transport::DatagramSender mSender;
  Core::Endpoint mTo;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace StandIns
