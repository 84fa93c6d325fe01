#pragma once

#include "steering/agentmessage.h"
#include "steering/fleetmap.h"
#include "steering/packetformat.h"
#include "steering/steeringcounters.h"

#include "core/clock.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace Steering {

/**
 * An agent's messages to balancers. It records the balancers that sent a
 * message, and sends load reports within a rate limit. Used by one thread.
 */
template<PacketFormat Format, typename Output>
class BalancerLinks
{
public:
  using PacketType = typename Format::Packet;

  /** Balancers that sent no message for this time get no load reports. */
  static constexpr std::chrono::seconds kBalancerTimeout{ 3 };
  static constexpr std::chrono::milliseconds kMinReportInterval{ 100 };
  /**
   * Limit for the reports of one agent to all balancers; 50 reports of 56 bytes
   * are 2.4 KB/s.
   */
  static constexpr int kMaxReportsPerSecond = 50;

  BalancerLinks(Output& aOutput, SteeringCounters& aCounters)
    : mOutput(aOutput)
    , mCounters(aCounters)
  {
  }

  /** Records that a balancer sent a message. */
  void recordMessage(const Core::Endpoint& aFrom,
                     const MapRevision& aMapRevision,
                     SendTime aSendTime,
                     Core::TimePoint aNow)
  {
    auto& balancer = mBalancers[tokenOf(aFrom) - 1];
    balancer.lastMessageAt = aNow;
    balancer.lastSendTime = aSendTime;
    mNewestMapRevision = std::max(mNewestMapRevision, aMapRevision);
  }

  /**
   * Records that a balancer's SYN was rejected for lack of a free slot, or of a
   * place in the slow-start window.
   */
  void markAwaitingSlot(const Core::Endpoint& aBalancer)
  {
    mBalancers[tokenOf(aBalancer) - 1].isAwaitingSlot = true;
  }

  /**
   * Number that identifies the balancer in returned packets; never 0. Adds the
   * balancer if it is new.
   */
  std::uint32_t tokenOf(const Core::Endpoint& aBalancer)
  {
    const auto [it, isNewBalancer] =
      mTokens.try_emplace(endpointKey(aBalancer), mBalancers.size() + 1);
    if (isNewBalancer) {
      mBalancers.emplace_back().endpoint = aBalancer;
    }
    return it->second;
  }

  /** Null if no balancer has the token. */
  Core::Endpoint endpointOf(std::uint32_t aToken) const
  {
    const bool isKnownToken = aToken != 0 && aToken <= mBalancers.size();
    return isKnownToken ? mBalancers[aToken - 1].endpoint : Core::Endpoint{};
  }

  void rejectPacket(const Core::Endpoint& aTo,
                    const PacketType& aPacket,
                    RejectReason aReason,
                    const ReportedLoad& aLoad)
  {
    beginMessage(aTo, MessageKind::Reject, aReason, aLoad);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    Format::restoreOriginal(
      absl::MakeSpan(mBuffer).subspan(AgentMessage::kBytes));
    mOutput.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::PacketsHandedBack);
  }

  void sendOwnerNotice(const Core::Endpoint& aTo,
                       const Packet::FlowKey& aFlow,
                       std::uint32_t aSequence,
                       const ReportedLoad& aLoad)
  {
    if (aTo.isNull()) {
      return;
    }
    beginMessage(aTo, MessageKind::OwnerNotice, RejectReason::None, aLoad);
    OwnerNotice{ aFlow, aSequence }.appendTo(mBuffer);
    mOutput.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::OwnerNotices);
  }

  /** Reports to a balancer which other agent owns a flow. */
  void sendOwnerHint(const Core::Endpoint& aTo,
                     const OwnerHint& aHint,
                     const ReportedLoad& aLoad)
  {
    beginMessage(aTo, MessageKind::OwnerHintReply, RejectReason::None, aLoad);
    aHint.appendTo(mBuffer);
    mOutput.sendToBalancer(aTo, mBuffer);
  }

  /**
   * Reports to a balancer that this agent does not know a flow, for the reason
   * that MessageKind::UnknownFlowReply describes.
   */
  void sendUnknownFlowReply(const Core::Endpoint& aTo,
                            const Packet::FlowKey& aFlow,
                            RejectReason aReason,
                            const ReportedLoad& aLoad)
  {
    beginMessage(aTo, MessageKind::UnknownFlowReply, aReason, aLoad);
    OwnerNotice{ aFlow, 0 }.appendTo(mBuffer);
    mOutput.sendToBalancer(aTo, mBuffer);
  }

  void sendLoadReport(const Core::Endpoint& aTo, const ReportedLoad& aLoad)
  {
    sendLoadReport(mBalancers[tokenOf(aTo) - 1], aLoad);
  }

  void sendLoadReportToAll(const ReportedLoad& aLoad)
  {
    for (auto& balancer : mBalancers) {
      sendLoadReport(balancer, aLoad);
    }
  }

  /**
   * Sends a load report to the next balancer that awaits a free slot, in
   * round-robin order.
   */
  void notifyNextAwaitingSlot(const ReportedLoad& aLoad)
  {
    for (std::size_t i = 0; i < mBalancers.size(); ++i) {
      mLastNotified = (mLastNotified + 1) % mBalancers.size();
      auto& balancer = mBalancers[mLastNotified];
      if (std::exchange(balancer.isAwaitingSlot, false)) {
        sendLoadReport(balancer, aLoad);
        return;
      }
    }
  }

  /**
   * Sends load reports to the balancers whose last report is outdated, within
   * the rate limit.
   */
  void reportLoadChanges(const ReportedLoad& aLoad, Core::TimePoint aNow)
  {
    const auto isActive = [aNow](const Balancer& aBalancer) {
      return aNow - aBalancer.lastMessageAt < kBalancerTimeout;
    };
    const auto activeCount =
      std::count_if(mBalancers.begin(), mBalancers.end(), isActive);
    const auto rateLimitInterval =
      std::chrono::milliseconds(activeCount * 1'000 / kMaxReportsPerSecond);
    const auto interval = std::max(kMinReportInterval, rateLimitInterval);
    for (auto& balancer : mBalancers) {
      const bool isDue = aNow - balancer.lastReportAt >= interval;
      if (isDue && isActive(balancer) &&
          hasChanged(balancer.lastReport, aLoad)) {
        balancer.lastReportAt = aNow;
        sendLoadReport(balancer, aLoad);
      }
    }
  }

private:
  struct Balancer
  {
    Core::Endpoint endpoint;
    Core::TimePoint lastMessageAt{};
    /** The send time of the balancer's last message. */
    SendTime lastSendTime{ 0 };
    Core::TimePoint lastReportAt{};
    ReportedLoad lastReport;
    /** Set when a SYN is rejected as full, cleared by a report of a free slot.
     */
    bool isAwaitingSlot = false;
  };

  static bool hasChanged(const ReportedLoad& aPrevious,
                         const ReportedLoad& aCurrent)
  {
    return aPrevious.inProgress != aCurrent.inProgress ||
           aPrevious.longLivedFlows != aCurrent.longLivedFlows ||
           aPrevious.isUnavailable != aCurrent.isUnavailable ||
           aPrevious.isEjected != aCurrent.isEjected ||
           aPrevious.slowStartBudget != aCurrent.slowStartBudget;
  }

  /** Writes the header of a new message to the buffer. */
  void beginMessage(const Core::Endpoint& aTo,
                    MessageKind aKind,
                    RejectReason aReason,
                    const ReportedLoad& aLoad)
  {
    AgentMessage message;
    message.kind = aKind;
    message.reason = aReason;
    message.mapRevision = mNewestMapRevision;
    auto& balancer = mBalancers[tokenOf(aTo) - 1];
    message.sendTime = balancer.lastSendTime;
    message.load = aLoad;
    // Each message reports the load, so a change back is a change to report.
    balancer.lastReport = aLoad;
    mBuffer.clear();
    message.appendTo(mBuffer);
  }

  void sendLoadReport(Balancer& aTo, const ReportedLoad& aLoad)
  {
    beginMessage(
      aTo.endpoint, MessageKind::LoadReport, RejectReason::None, aLoad);
    mOutput.sendToBalancer(aTo.endpoint, mBuffer);
    mCounters.increment(SteeringCounter::LoadReports);
  }

  Output& mOutput;
  SteeringCounters& mCounters;
  std::vector<Balancer> mBalancers;
  /** Maps an endpoint to the index in mBalancers plus one. */
  absl::flat_hash_map<std::uint64_t, std::uint32_t> mTokens;
  /** Newest fleet map revision received from any balancer. */
  MapRevision mNewestMapRevision;
  std::size_t mLastNotified = 0;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace Steering
