#pragma once

#include "core/clock.h"
#include "messages/peermessages.pb.h"
#include "ownership/agentcounters.h"
#include "ownership/claimtable.h"
#include "ownership/incomingpacket.h"
#include "ownership/peerloadtable.h"
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

/** Sends the packets of an agent. */
template<typename T>
concept AgentOutput = requires(T& aOutput,
                               const Core::Endpoint& aTo,
                               absl::Span<const std::uint8_t> aData)
{
  /** Sends a datagram to another process of the system. */
  aOutput.send(aTo, aData);
  /** Sends a complete IPv4 packet to the backend server. */
  aOutput.deliver(aData);
  /** Sends a complete IPv4 packet to a caller. */
  aOutput.sendToCaller(aData);
};

/**
 * Longest time that a packet takes from the fabric to a backend server: 250 ms
 * in each of the balancer, the home and the owner, which drop older packets,
 * and 300 ms until its claim is proven.
 */
constexpr std::chrono::milliseconds kMaxTransitTime{ 1'050 };

/** Identifies one agent. */
struct AgentIdentity
{
  std::string name;
  Config::Identity target = 0;
  Core::Endpoint endpoint;
  /** Unique for each start of the agent. */
  ClaimerId claimer = 0;
  /** Wall clock time of the start, in nanoseconds since the epoch. */
  std::uint64_t incarnation = 0;
  Core::TimePoint startedAt;
};

/**
 * The state that the roles of an agent share. Must only be used by one thread.
 */
template<AgentOutput Output>
class AgentContext
{
public:
  /**
   * Time for which the view is valid after its last confirmation. Without a
   * valid view no new flow is admitted.
   */
  static constexpr std::chrono::seconds kViewLease{ 5 };

  AgentContext(Output& aOutput,
               AgentIdentity aSelf,
               const Config::FlowHashKey& aKey,
               Telemetry::EventLog& aEvents,
               Telemetry::HistogramSet& aHistograms)
    : output(aOutput)
    , self(std::move(aSelf))
    , hasher(aKey)
    , events(aEvents)
    , histograms(aHistograms)
  {
  }

  /** True if this agent has been running for the whole replay window. */
  bool hasFullHistory(Core::TimePoint aNow) const
  {
    return aNow - self.startedAt >= replayWindow();
  }

  /**
   * Time in which a packet of a request may arrive again, at this agent or at
   * another one.
   */
  std::chrono::nanoseconds replayWindow() const
  {
    return views.current()->document().replayWindow + kMaxTransitTime;
  }

  bool isLeaseValid(Core::TimePoint aNow) const
  {
    return aNow - viewConfirmedAt <= kViewLease;
  }

  /**
   * Data endpoint of a target in the current view or, failing that, in the
   * newest previous view that has the target; null if there is none.
   */
  Core::Endpoint endpointOf(Config::Identity aTarget) const
  {
    const auto* targetEntry = views.current()->findTarget(aTarget);
    if (targetEntry != nullptr) {
      return targetEntry->endpoint;
    }
    for (const auto& view : views.previous()) {
      targetEntry = view->findTarget(aTarget);
      if (targetEntry != nullptr) {
        return targetEntry->endpoint;
      }
    }
    return {};
  }

  void forward(const Core::Endpoint& aTo,
               Packet::ForwardHeader aHeader,
               const Packet::PacketView& aPacket)
  {
    constexpr std::uint8_t kMaxHops = 40;
    if (aTo.isNull() || aHeader.hops >= kMaxHops) {
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
    const auto body = aMessage.SerializeAsString();
    Packet::GuePacket gue;
    gue.content = Packet::GueContent::ControlMessage;
    gue.body = absl::MakeConstSpan(
      reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
    sendGue(aTo, gue);
  }

  Output& output;
  AgentIdentity self;
  Routing::FlowHasher hasher;
  Routing::ViewHistory views;
  AgentCounters counters;
  Telemetry::EventLog& events;
  Telemetry::HistogramSet& histograms;
  PeerLoadTable peerLoads;
  ClaimTable claims;
  Core::TimePoint viewConfirmedAt{};
  bool isDraining = false;

private:
  void sendGue(const Core::Endpoint& aTo, const Packet::GuePacket& aGue)
  {
    mBuffer.clear();
    aGue.appendTo(mBuffer);
    output.send(aTo, mBuffer);
  }

  std::vector<std::uint8_t> mBuffer;
};

} // namespace Ownership
