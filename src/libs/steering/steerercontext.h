#pragma once

#include "steering/agentmessage.h"
#include "steering/attemptschedule.h"
#include "steering/fleetmap.h"
#include "steering/flowhash.h"
#include "steering/flowmemory.h"
#include "steering/loadtable.h"
#include "steering/packetformat.h"
#include "steering/steeringcounters.h"

#include "telemetry/eventlog.h"

#include <absl/types/span.h>

#include <chrono>
#include <concepts>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/** Where a balancer's datagrams go. */
template<typename T>
concept SteererPort = requires(T& aPort,
                               const Core::Endpoint& aTo,
                               absl::Span<const std::uint8_t> aData)
{
  /** One message to an agent. */
  aPort.sendToAgent(aTo, aData);
  /** One packet to a caller. */
  aPort.sendToCaller(aTo, aData);
};

/** Who a balancer is. */
struct SteererIdentity
{
  std::string zone;
  AttemptSchedule attempts;
};

/** What the parts of a balancer's decisions share. Used by one thread. */
template<PacketFormat Format, SteererPort Port>
class SteererContext
{
public:
  using PacketType = typename Format::Packet;

  SteererContext(Port& aPort,
                 SteererIdentity aSelf,
                 Telemetry::EventLog& aEvents)
    : port(aPort)
    , self(std::move(aSelf))
    , events(aEvents)
  {
  }

  std::uint32_t mapRevision() const
  {
    return map == nullptr ? 0 : static_cast<std::uint32_t>(map->revision());
  }

  /** Without this no caller is told that a route or flow does not exist. */
  bool isMapCurrent() const
  {
    return isInTouch && map != nullptr && newestRevision <= mapRevision();
  }

  /** Null without a map or for an address of no route. */
  const Route* findRoute(const Packet::FlowKey& aFlow) const
  {
    return map == nullptr ? nullptr : map->findRoute(aFlow.service);
  }

  /**
   * Sends a packet to the agent that the memory names. aAge tells how long
   * the caller of a new flow has waited.
   */
  void forward(const PacketType& aPacket,
               const Route& aRoute,
               const RememberedFlow& aMemory,
               std::chrono::milliseconds aAge = {})
  {
    if (!map->serves(aRoute, aMemory.agent)) {
      // Its address may have gone to another service.
      counters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    AgentMessage message;
    message.kind = MessageKind::Forward;
    message.mapRevision = mapRevision();
    message.wantsNotice = !aMemory.isConfirmed;
    message.isLongFlow = aRoute.habit == FlowHabit::ManyRequests;
    message.serviceTag = map->serviceOf(aMemory.agent).tag;
    message.slots =
      static_cast<std::uint16_t>(map->findTarget(aMemory.agent)->slots);
    message.age = aAge;
    message.latencyObjective = aRoute.latencyObjective;
    message.timeout = aRoute.timeout;
    mBuffer.clear();
    message.appendTo(mBuffer);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    port.sendToAgent(aMemory.agent, mBuffer);
    counters.increment(SteeringCounter::PacketsForwarded);
  }

  void sendProbe(const Core::Endpoint& aAgent)
  {
    beginMessage(MessageKind::Probe);
    port.sendToAgent(aAgent, mBuffer);
  }

  /** Asks an agent whether its backend server holds the flow. */
  void sendLocate(const Core::Endpoint& aAgent, const Packet::FlowKey& aFlow)
  {
    beginMessage(MessageKind::Locate);
    OwnerNotice{ aFlow, 0 }.appendTo(mBuffer);
    port.sendToAgent(aAgent, mBuffer);
  }

  /** Tells an agent which other agent has a flow. */
  void sendHint(const Core::Endpoint& aAgent, const OwnerHint& aHint)
  {
    beginMessage(MessageKind::NoteOwner);
    aHint.appendTo(mBuffer);
    port.sendToAgent(aAgent, mBuffer);
  }

  /** Tells the caller that the flow does not exist, or has not run. */
  void sendReset(const PacketType& aPacket)
  {
    const auto bytes = Format::buildReset(aPacket);
    port.sendToCaller(aPacket.flowToService().caller, bytes);
  }

  /** The first fields of each line about a flow. */
  static Telemetry::EventFields flowFields(const Packet::FlowKey& aFlow)
  {
    Telemetry::EventFields fields;
    fields.flow(flowHash(aFlow))
      .add("caller", Core::formatEndpoint(aFlow.caller))
      .add("service", Core::formatEndpoint(aFlow.service));
    return fields;
  }

  /** Resets a flow that exists nowhere. */
  void resetUnknown(const PacketType& aPacket, const char* aWhy)
  {
    counters.increment(SteeringCounter::FlowsReset);
    events.write(Telemetry::Event::FlowNotFound, [&] {
      return flowFields(aPacket.flowToService())
        .add("why", aWhy)
        .add("revision", map->revision());
    });
    sendReset(aPacket);
  }

  Port& port;
  SteererIdentity self;
  Telemetry::EventLog& events;
  FleetMapPointer map;
  /** The platform answers, so that the map should be the newest. */
  bool isInTouch = false;
  /** The newest revision that any agent has heard of. */
  std::uint32_t newestRevision = 0;
  /** Before this a target may exist that the map does not show yet. */
  Core::TimePoint settledAt{};
  FlowMemory flows;
  LoadTable loads;
  SteeringCounters counters;

private:
  /** A message that has no fields but those that all have. */
  void beginMessage(MessageKind aKind)
  {
    AgentMessage message;
    message.kind = aKind;
    message.mapRevision = mapRevision();
    mBuffer.clear();
    message.appendTo(mBuffer);
  }

  std::vector<std::uint8_t> mBuffer;
};

} // namespace Steering
