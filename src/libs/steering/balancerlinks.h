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
 * An agent's side of the messages with balancers: it remembers which balancers
 * there are, writes the messages to them and tells them loads within a budget.
 * Used by one thread.
 */
template<PacketFormat Format, typename Port>
class BalancerLinks
{
public:
  using PacketType = typename Format::Packet;

  /** Balancers that sent nothing for so long get no reports. */
  static constexpr std::chrono::seconds kBalancerMemory{ 3 };
  static constexpr std::chrono::milliseconds kReportInterval{ 100 };
  /** Reports of one agent to all balancers; 50 of 48 bytes are 2.4 KB/s. */
  static constexpr int kReportsPerSecond = 50;

  BalancerLinks(Port& aPort, SteeringCounters& aCounters)
    : mPort(aPort)
    , mCounters(aCounters)
  {
  }

  /** A balancer sent a message. */
  void noteMessage(const Core::Endpoint& aFrom,
                   std::uint32_t aMapRevision,
                   Core::TimePoint aNow)
  {
    mBalancers[tokenOf(aFrom) - 1].seenAt = aNow;
    mNewestRevision = std::max(mNewestRevision, aMapRevision);
  }

  /** A balancer was turned away and wants to hear of a free slot. */
  void noteWaiting(const Core::Endpoint& aBalancer)
  {
    mBalancers[tokenOf(aBalancer) - 1].isWaiting = true;
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

  /** Null for a number that no balancer has. */
  Core::Endpoint endpointOf(std::uint32_t aToken) const
  {
    const bool isKnown = aToken != 0 && aToken <= mBalancers.size();
    return isKnown ? mBalancers[aToken - 1].endpoint : Core::Endpoint{};
  }

  void handBack(const Core::Endpoint& aTo,
                const PacketType& aPacket,
                HandBackReason aReason,
                const ReportedLoad& aLoad)
  {
    begin(MessageKind::HandBack, aReason, aLoad);
    const auto bytes = aPacket.bytes();
    mBuffer.insert(mBuffer.end(), bytes.begin(), bytes.end());
    Format::restore(absl::MakeSpan(mBuffer).subspan(AgentMessage::kBytes));
    mPort.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::PacketsHandedBack);
  }

  void sendNotice(const Core::Endpoint& aTo,
                  const Packet::FlowKey& aFlow,
                  std::uint32_t aSequence,
                  const ReportedLoad& aLoad)
  {
    if (aTo.isNull()) {
      return;
    }
    begin(MessageKind::OwnerNotice, HandBackReason::None, aLoad);
    OwnerNotice{ aFlow, aSequence }.appendTo(mBuffer);
    mPort.sendToBalancer(aTo, mBuffer);
    mCounters.increment(SteeringCounter::OwnerNotices);
  }

  /** Tells a balancer which other agent has a flow. */
  void sendHint(const Core::Endpoint& aTo,
                const OwnerHint& aHint,
                const ReportedLoad& aLoad)
  {
    begin(MessageKind::OwnerElsewhere, HandBackReason::None, aLoad);
    aHint.appendTo(mBuffer);
    mPort.sendToBalancer(aTo, mBuffer);
  }

  void sendReport(const Core::Endpoint& aTo, const ReportedLoad& aLoad)
  {
    sendReport(mBalancers[tokenOf(aTo) - 1], aLoad);
  }

  void sendReportToAll(const ReportedLoad& aLoad)
  {
    for (auto& balancer : mBalancers) {
      sendReport(balancer, aLoad);
    }
  }

  /** Tells one balancer that was turned away, in turn, of a free slot. */
  void tellNextWaiting(const ReportedLoad& aLoad)
  {
    for (std::size_t i = 0; i < mBalancers.size(); ++i) {
      mToldLast = (mToldLast + 1) % mBalancers.size();
      auto& balancer = mBalancers[mToldLast];
      if (std::exchange(balancer.isWaiting, false)) {
        sendReport(balancer, aLoad);
        return;
      }
    }
  }

  void reportChanges(const ReportedLoad& aLoad, Core::TimePoint aNow)
  {
    const auto isActive = [aNow](const Balancer& aBalancer) {
      return aNow - aBalancer.seenAt < kBalancerMemory;
    };
    const auto active =
      std::count_if(mBalancers.begin(), mBalancers.end(), isActive);
    const auto spread =
      std::chrono::milliseconds(active * 1'000 / kReportsPerSecond);
    const auto interval = std::max(kReportInterval, spread);
    for (auto& balancer : mBalancers) {
      const bool isDue = aNow - balancer.reportedAt >= interval;
      if (isDue && isActive(balancer) && hasChanged(balancer.reported, aLoad)) {
        balancer.reportedAt = aNow;
        sendReport(balancer, aLoad);
      }
    }
  }

private:
  struct Balancer
  {
    Core::Endpoint endpoint;
    Core::TimePoint seenAt{};
    Core::TimePoint reportedAt{};
    ReportedLoad reported;
    /** It was turned away since it last heard of room. */
    bool isWaiting = false;
  };

  static bool hasChanged(const ReportedLoad& aBefore, const ReportedLoad& aNow)
  {
    return aBefore.inProgress != aNow.inProgress ||
           aBefore.longFlows != aNow.longFlows ||
           aBefore.isUnavailable != aNow.isUnavailable;
  }

  /** Begins a message in the buffer. */
  void begin(MessageKind aKind,
             HandBackReason aReason,
             const ReportedLoad& aLoad)
  {
    AgentMessage message;
    message.kind = aKind;
    message.reason = aReason;
    message.mapRevision = mNewestRevision;
    message.load = aLoad;
    mBuffer.clear();
    message.appendTo(mBuffer);
  }

  void sendReport(Balancer& aTo, const ReportedLoad& aLoad)
  {
    begin(MessageKind::LoadReport, HandBackReason::None, aLoad);
    aTo.reported = aLoad;
    mPort.sendToBalancer(aTo.endpoint, mBuffer);
    mCounters.increment(SteeringCounter::LoadReports);
  }

  Port& mPort;
  SteeringCounters& mCounters;
  std::vector<Balancer> mBalancers;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> mTokens;
  /** Of the maps of all balancers. */
  std::uint32_t mNewestRevision = 0;
  std::size_t mToldLast = 0;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace Steering
