#pragma once

#include "core/clock.h"
#include "messages/peermessages.pb.h"
#include "ownership/agentcounters.h"
#include "ownership/arrival.h"
#include "ownership/claimtable.h"
#include "ownership/loadboard.h"
#include "packet/guepacket.h"
#include "packet/packetbuilder.h"
#include "routing/flowhasher.h"
#include "routing/viewhistory.h"
#include "telemetry/eventlog.h"
#include "telemetry/histogramset.h"

#include <absl/types/span.h>

#include <chrono>
#include <concepts>
#include <string>
#include <vector>

namespace Ownership {

/** Where an agent's packets go. */
template<typename T>
concept AgentPort = requires(T& aPort,
                             const Core::Endpoint& aTo,
                             absl::Span<const std::uint8_t> aData)
{
  /** One datagram to another process of the system. */
  aPort.send(aTo, aData);
  /** One whole IPv4 packet to the backend server. */
  aPort.deliver(aData);
  /** One whole IPv4 packet to a caller. */
  aPort.sendToCaller(aData);
};

/**
 * A packet stays so long between the fabric and a backend server: 250 ms in a
 * balancer, a home and an owner each, which drop older ones, and 300 ms until
 * a claim is proven.
 */
constexpr std::chrono::milliseconds kLongestStay{ 1'050 };

/** Who an agent is. */
struct AgentIdentity
{
  std::string name;
  Config::Identity target = 0;
  Core::Endpoint endpoint;
  /** Differs for every start of the agent. */
  Claimer claimer = 0;
  /** Wall clock at the start, in nanoseconds; tells lives apart. */
  std::uint64_t incarnation = 0;
  Core::TimePoint startedAt;
};

/** What the parts of an agent share. Used by one thread. */
template<AgentPort Port>
class AgentContext
{
public:
  /** A view that nobody confirmed for so long admits no new flow. */
  static constexpr std::chrono::seconds kViewLease{ 5 };

  AgentContext(Port& aPort,
               AgentIdentity aSelf,
               const Config::FlowHashKey& aKey,
               Telemetry::EventLog& aEvents,
               Telemetry::HistogramSet& aHistograms)
    : port(aPort)
    , self(std::move(aSelf))
    , hasher(aKey)
    , events(aEvents)
    , histograms(aHistograms)
  {
  }

  /** True when this agent remembers the whole replay window. */
  bool isComplete(Core::TimePoint aNow) const
  {
    return aNow - self.startedAt >= replayWindow();
  }

  /** For so long a packet of a request may come again, here or elsewhere. */
  std::chrono::nanoseconds replayWindow() const
  {
    return views.current()->document().replayWindow + kLongestStay;
  }

  bool isLeaseValid(Core::TimePoint aNow) const
  {
    return aNow - viewConfirmedAt <= kViewLease;
  }

  /** Data endpoint of a target in any view; null when there is none. */
  Core::Endpoint endpointOf(Config::Identity aTarget) const
  {
    const auto* place = views.current()->findTarget(aTarget);
    if (place != nullptr) {
      return place->endpoint;
    }
    for (const auto& it : views.earlier()) {
      place = it->findTarget(aTarget);
      if (place != nullptr) {
        return place->endpoint;
      }
    }
    return {};
  }

  void forward(const Core::Endpoint& aTo,
               Packet::ForwardHeader aHeader,
               const Packet::PacketView& aPacket)
  {
    constexpr std::uint8_t kMaximumHops = 40;
    if (aTo.isNull() || aHeader.hops >= kMaximumHops) {
      counters.increment(AgentCounter::PacketsHopLimit);
      return;
    }
    ++aHeader.hops;
    aHeader.revision = views.current()->revision();
    const auto privateData = aHeader.encode();
    Packet::GuePacket gue;
    gue.privateData = privateData;
    gue.body = aPacket.bytes();
    sendGue(aTo, gue);
    counters.increment(AgentCounter::PacketsForwarded);
  }

  void sendMessage(const Core::Endpoint& aTo,
                   const Messages::PeerMessage& aMessage)
  {
    if (aTo.isNull()) {
      return;
    }
    const auto text = aMessage.SerializeAsString();
    Packet::GuePacket gue;
    gue.content = Packet::GueContent::ControlMessage;
    gue.body = absl::MakeConstSpan(
      reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    sendGue(aTo, gue);
  }

  Port& port;
  AgentIdentity self;
  Routing::FlowHasher hasher;
  Routing::ViewHistory views;
  AgentCounters counters;
  Telemetry::EventLog& events;
  Telemetry::HistogramSet& histograms;
  LoadBoard board;
  ClaimTable claims;
  Core::TimePoint viewConfirmedAt{};
  bool isLeaving = false;

private:
  void sendGue(const Core::Endpoint& aTo, const Packet::GuePacket& aGue)
  {
    mBuffer.clear();
    aGue.appendTo(mBuffer);
    port.send(aTo, mBuffer);
  }

  std::vector<std::uint8_t> mBuffer;
};

} // namespace Ownership
