#pragma once

#include "steering/agentmessage.h"
#include "steering/fleetmap.h"
#include "steering/packetformat.h"
#include "steering/steeringcounters.h"
#include "steering/targetgateflows.h"

#include "telemetry/eventlog.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/** Where an agent's packets go. */
template<typename T>
concept GatePort = requires(T& aPort,
                            const Core::Endpoint& aTo,
                            absl::Span<const std::uint8_t> aData)
{
  /** One message to a balancer. */
  aPort.sendToBalancer(aTo, aData);
  /** One packet to the backend server. */
  aPort.deliver(aData);
  /** One packet to a caller. */
  aPort.sendToCaller(aTo, aData);
};

/** Who an agent is. */
struct GateIdentity
{
  /** Name of the service that the backend server belongs to. */
  std::string service;
};

/**
 * The decisions of an agent beside a backend server that hands back what it
 * does not hold: it admits new flows by the slots in use, hands the rest back
 * to the balancer, and tells balancers who holds a flow. It needs no map and
 * its memory is no authority. Used by one thread.
 */
template<PacketFormat Format, GatePort Port>
class TargetGate
{
public:
  /**
   * A backend server answers an opening packet within a millisecond. Below
   * the time after which a balancer suspects this agent, less the way back.
   */
  static constexpr std::chrono::milliseconds kOpeningTimeout{ 60 };
  /** So many openings in a row without an answer make a server silent. */
  static constexpr int kSilentAfter = 2;
  /** A silent server gets one opening in so long. */
  static constexpr std::chrono::milliseconds kSilentRetry{ 500 };
  /** Balancers that sent nothing for so long get no reports. */
  static constexpr std::chrono::seconds kBalancerMemory{ 3 };
  static constexpr std::chrono::milliseconds kReportInterval{ 100 };
  /** Reports of one agent to all balancers; 50 of 44 bytes are 2.2 KB/s. */
  static constexpr int kReportsPerSecond = 50;

  TargetGate(Port& aPort, GateIdentity aSelf, Telemetry::EventLog& aEvents)
    : mPort(aPort)
    , mSelf(std::move(aSelf))
    , mServiceTag(FleetMap::serviceTag(mSelf.service))
    , mEvents(aEvents)
  {
  }
  TargetGate(const TargetGate&) = delete;
  TargetGate& operator=(const TargetGate&) = delete;

  const SteeringCounters& counters() const { return mCounters; }
  std::size_t openFlows() const { return mFlows.size(); }
  std::uint32_t inProgress() const { return mFlows.inProgress(); }

  /** No new flow is admitted from now on, and balancers are told. */
  void beginLeaving()
  {
    mIsLeaving = true;
    for (auto& balancer : mBalancers) {
      sendReport(balancer);
    }
  }

  /** Handles one datagram from a balancer. */
  void handleBalancerMessage(const Core::Endpoint& aFrom,
                             absl::Span<const std::uint8_t> aData,
                             Core::TimePoint aNow)
  {
    mCounters.increment(SteeringCounter::PacketsReceived);
    mFlows.expire(aNow);
    const auto message = AgentMessage::parse(aData);
    if (!message.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    auto& balancer = balancerOf(aFrom, aNow);
    if (message->kind == MessageKind::Probe) {
      sendReport(balancer);
      return;
    }
    const auto body = aData.subspan(AgentMessage::kBytes);
    const auto packet = Format::parse(body);
    if (message->kind != MessageKind::Forward || !packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    mSlots = std::max<std::uint32_t>(message->slots, 1);
    if (message->serviceTag != mServiceTag) {
      mCounters.increment(SteeringCounter::WrongService);
      handBack(aFrom, *packet, HandBackReason::WrongService);
      return;
    }
    if (packet->isOpening()) {
      handleOpening(aFrom, *message, *packet, aNow);
    } else {
      handleOngoing(aFrom, *message, *packet, aNow);
    }
  }

  /** Handles one packet that the backend server sent. */
  void handleTargetPacket(absl::Span<const std::uint8_t> aData,
                          Core::TimePoint aNow)
  {
    const auto packet = Format::parse(aData);
    if (!packet.ok()) {
      mCounters.increment(SteeringCounter::PacketsMalformed);
      return;
    }
    noteTargetAnswered();
    if (packet->isHandedBack()) {
      handleReturned(*packet);
      return;
    }
    const auto flow = packet->flowToCaller();
    noteTargetPacket(*packet, flow, aNow);
    mPort.sendToCaller(flow.caller, aData);
    mCounters.increment(SteeringCounter::PacketsToCallers);
  }

  /** Hands back what the backend server left unanswered, tells loads. */
  void tick(Core::TimePoint aNow)
  {
    returnUnanswered(aNow);
    mFlows.expire(aNow);
    reportChanges(aNow);
  }

  /** When tick() is due; nothing while nothing is waited for. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (mOpenings.empty()) {
      return std::nullopt;
    }
    return kOpeningTimeout / 2;
  }

private:
  using PacketType = typename Format::Packet;
  using Bytes = std::vector<std::uint8_t>;

  struct Balancer
  {
    Core::Endpoint endpoint;
    Core::TimePoint seenAt{};
    Core::TimePoint reportedAt{};
    ReportedLoad reported;
    /** It was turned away since it last heard of room. */
    bool isWaiting = false;
  };

  /** An opening packet that the backend server has not answered yet. */
  struct Opening
  {
    Core::Endpoint balancer;
    Core::TimePoint sentAt{};
    Bytes packet;
  };

  void handleOpening(const Core::Endpoint& aFrom,
                     const AgentMessage& aMessage,
                     const PacketType& aPacket,
                     Core::TimePoint aNow)
  {
    const auto key = aPacket.flowToService();
    const bool isKnown = mFlows.find(key) != nullptr;
    if (!isKnown) {
      const auto reason = reasonAgainst(aMessage, aNow);
      if (reason != HandBackReason::None) {
        if (reason == HandBackReason::Full) {
          balancerOf(aFrom, aNow).isWaiting = true;
        }
        handBack(aFrom, aPacket, reason);
        return;
      }
      mCounters.increment(SteeringCounter::FlowsAdmitted);
    }
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    flow.wantsNotice = true;
    mFlows.noteOpening(key, flow, aMessage.isLongFlow, aNow);
    const auto bytes = aPacket.bytes();
    mOpenings[key] = { aFrom, aNow, Bytes(bytes.begin(), bytes.end()) };
    deliver(aFrom, aPacket);
  }

  HandBackReason reasonAgainst(const AgentMessage& aMessage,
                               Core::TimePoint aNow)
  {
    if (mIsLeaving) {
      return HandBackReason::Leaving;
    }
    if (mUnanswered >= kSilentAfter) {
      if (aNow - mTriedAt < kSilentRetry) {
        return HandBackReason::Silent;
      }
      mTriedAt = aNow;
      return HandBackReason::None;
    }
    const bool isFull = mFlows.expectedWait(mSlots) > aMessage.allowedWait;
    return isFull ? HandBackReason::Full : HandBackReason::None;
  }

  void handleOngoing(const Core::Endpoint& aFrom,
                     const AgentMessage& aMessage,
                     const PacketType& aPacket,
                     Core::TimePoint aNow)
  {
    const auto key = aPacket.flowToService();
    auto& flow = mFlows.touch(key, aNow);
    flow.balancer = aFrom;
    if (aPacket.isReset()) {
      mFlows.noteEnd(flow);
      deliver(aFrom, aPacket);
      return;
    }
    if (aPacket.carriesData()) {
      mFlows.noteLong(flow, aMessage.isLongFlow);
      mFlows.noteCallerData(flow, aPacket.sequence(), mSlots, aNow);
    }
    deliver(aFrom, aPacket);
    if (!aMessage.wantsNotice) {
      return;
    }
    flow.wantsNotice = !flow.isHeld;
    if (flow.isHeld) {
      sendNotice(flow.balancer, key, 0);
    }
  }

  void noteTargetPacket(const PacketType& aPacket,
                        const Packet::FlowKey& aFlow,
                        Core::TimePoint aNow)
  {
    auto& flow = mFlows.touch(aFlow, aNow);
    if (aPacket.isReset()) {
      mFlows.noteEnd(flow);
      mOpenings.erase(aFlow);
      return;
    }
    flow.isHeld = true;
    if (aPacket.carriesData()) {
      mFlows.noteAnswer(flow, aNow);
      tellNextWaiting();
    }
    if (aPacket.isAccepting()) {
      mOpenings.erase(aFlow);
    }
    if (std::exchange(flow.wantsNotice, false)) {
      const auto sequence = aPacket.isAccepting() ? aPacket.sequence() : 0;
      sendNotice(flow.balancer, aFlow, sequence);
    }
    if (aPacket.isClosing()) {
      mFlows.noteEnd(flow);
    }
  }

  /** The backend server does not hold the flow, or refused to open it. */
  void handleReturned(const PacketType& aPacket)
  {
    const auto token = aPacket.returnToken();
    const auto flow = aPacket.flowToService();
    mFlows.erase(flow);
    mOpenings.erase(flow);
    if (token == 0 || token > mBalancers.size()) {
      mCounters.increment(SteeringCounter::PacketsWithoutTarget);
      return;
    }
    const auto reason =
      aPacket.isOpening() ? HandBackReason::Refused : HandBackReason::NotHeld;
    handBack(mBalancers[token - 1].endpoint, aPacket, reason);
  }

  void returnUnanswered(Core::TimePoint aNow)
  {
    for (auto it = mOpenings.begin(); it != mOpenings.end();) {
      if (aNow - it->second.sentAt < kOpeningTimeout) {
        ++it;
        continue;
      }
      mCounters.increment(SteeringCounter::OpeningsUnanswered);
      if (++mUnanswered == kSilentAfter) {
        mTriedAt = aNow;
        mEvents.write(Telemetry::Event::TargetSilent,
                      "it left opening packets unanswered");
      }
      const auto opening = std::move(it->second);
      mFlows.erase(it->first);
      mOpenings.erase(it++);
      const auto packet = Format::parse(opening.packet);
      if (packet.ok()) {
        handBack(opening.balancer, *packet, HandBackReason::Silent);
      }
    }
  }

  void noteTargetAnswered()
  {
    if (mUnanswered >= kSilentAfter) {
      mEvents.write(Telemetry::Event::TargetAnswers, "it answers again");
    }
    mUnanswered = 0;
  }

  void deliver(const Core::Endpoint& aFrom, const PacketType& aPacket)
  {
    const auto bytes = aPacket.bytes();
    mBuffer.assign(bytes.begin(), bytes.end());
    Format::stampReturnToken(absl::MakeSpan(mBuffer), tokenOf(aFrom));
    mPort.deliver(mBuffer);
    mCounters.increment(SteeringCounter::PacketsDelivered);
  }

  void handBack(const Core::Endpoint& aTo,
                const PacketType& aPacket,
                HandBackReason aReason)
  {
    AgentMessage message;
    message.kind = MessageKind::HandBack;
    message.reason = aReason;
    message.load = load();
    mBuffer.clear();
    message.appendTo(mBuffer);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    Format::restore(absl::MakeSpan(mBuffer).subspan(AgentMessage::kBytes));
    mPort.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::PacketsHandedBack);
  }

  void sendNotice(const Core::Endpoint& aTo,
                  const Packet::FlowKey& aFlow,
                  std::uint32_t aSequence)
  {
    if (aTo.isNull()) {
      return;
    }
    AgentMessage message;
    message.kind = MessageKind::OwnerNotice;
    message.load = load();
    mBuffer.clear();
    message.appendTo(mBuffer);
    OwnerNotice{ aFlow, aSequence }.appendTo(mBuffer);
    mPort.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::OwnerNotices);
  }

  void sendReport(Balancer& aTo)
  {
    AgentMessage message;
    message.kind = MessageKind::LoadReport;
    message.load = load();
    mBuffer.clear();
    message.appendTo(mBuffer);
    aTo.reported = message.load;
    mPort.sendToBalancer(aTo.endpoint, mBuffer);
    mCounters.increment(SteeringCounter::LoadReports);
  }

  /** Tells one balancer that was turned away, in turn, of a free slot. */
  void tellNextWaiting()
  {
    if (mFlows.inProgress() >= mSlots) {
      return;
    }
    for (std::size_t i = 0; i < mBalancers.size(); ++i) {
      mToldLast = (mToldLast + 1) % mBalancers.size();
      auto& balancer = mBalancers[mToldLast];
      if (std::exchange(balancer.isWaiting, false)) {
        sendReport(balancer);
        return;
      }
    }
  }

  void reportChanges(Core::TimePoint aNow)
  {
    const auto active = std::count_if(
      mBalancers.begin(), mBalancers.end(), [aNow](const auto& aBalancer) {
        return aNow - aBalancer.seenAt < kBalancerMemory;
      });
    const auto spread =
      std::chrono::milliseconds(active * 1'000 / kReportsPerSecond);
    const auto interval = std::max(kReportInterval, spread);
    const auto current = load();
    for (auto& balancer : mBalancers) {
      const bool hasChanged =
        balancer.reported.inProgress != current.inProgress ||
        balancer.reported.longFlows != current.longFlows ||
        balancer.reported.isUnavailable != current.isUnavailable;
      const bool isDue = hasChanged &&
                         aNow - balancer.seenAt < kBalancerMemory &&
                         aNow - balancer.reportedAt >= interval;
      if (isDue) {
        balancer.reportedAt = aNow;
        sendReport(balancer);
      }
    }
  }

  ReportedLoad load() const
  {
    auto load = mFlows.load();
    load.isUnavailable = mIsLeaving || mUnanswered >= kSilentAfter;
    return load;
  }

  Balancer& balancerOf(const Core::Endpoint& aEndpoint, Core::TimePoint aNow)
  {
    auto& balancer = mBalancers[tokenOf(aEndpoint) - 1];
    balancer.seenAt = aNow;
    return balancer;
  }

  /** A number that names the balancer in returned packets; never 0. */
  std::uint32_t tokenOf(const Core::Endpoint& aBalancer)
  {
    const auto [it, isNew] =
      mTokens.try_emplace(endpointKey(aBalancer), mBalancers.size() + 1);
    if (isNew) {
      mBalancers.push_back({ aBalancer, {}, {}, {}, false });
    }
    return it->second;
  }

  Port& mPort;
  GateIdentity mSelf;
  std::uint32_t mServiceTag;
  Telemetry::EventLog& mEvents;
  TargetGateFlows mFlows;
  absl::flat_hash_map<Packet::FlowKey, Opening> mOpenings;
  std::vector<Balancer> mBalancers;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> mTokens;
  std::uint32_t mSlots = 1;
  std::size_t mToldLast = 0;
  int mUnanswered = 0;
  Core::TimePoint mTriedAt{};
  bool mIsLeaving = false;
  SteeringCounters mCounters;
  Bytes mBuffer;
};

} // namespace Steering
