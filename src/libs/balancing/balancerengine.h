#pragma once

#include "balancing/balancercounters.h"
#include "balancing/homefailuredetector.h"
#include "balancing/ownercache.h"
#include "core/clock.h"
#include "messages/flowid.h"
#include "messages/peermessages.pb.h"
#include "packet/forwardheader.h"
#include "packet/guepacket.h"
#include "packet/packetview.h"
#include "routing/flowhasher.h"
#include "routing/viewhistory.h"

#include <absl/types/span.h>

#include <chrono>
#include <concepts>
#include <vector>

namespace Balancing {

/** Sends the datagrams of a balancer. */
template<typename T>
concept BalancerOutput = requires(T& aOutput,
                                  const Core::Endpoint& aTo,
                                  absl::Span<const std::uint8_t> aDatagram)
{
  aOutput.send(aTo, aDatagram);
};

/**
 * Forwards each packet that a balancer receives to an agent: to the flow's
 * owner if it is cached, else to the flow's home agent. Any balancer forwards
 * correctly with an empty cache; the cache saves a hop. Not thread-safe.
 */
template<BalancerOutput Output>
class BalancerEngine
{
public:
  static constexpr std::size_t kOwnerCacheCapacity = 1'000'000;
  static constexpr std::chrono::seconds kOwnerCacheGenerationDuration{ 60 };

  BalancerEngine(Output& aOutput,
                 const Core::Endpoint& aSelf,
                 const Config::FlowHashKey& aKey)
    : mOutput(aOutput)
    , mSelf(aSelf)
    , mHasher(aKey)
    , mOwners(kOwnerCacheCapacity, kOwnerCacheGenerationDuration)
  {
  }

  /** Fails if aView must not replace the current view. */
  absl::Status activateView(Routing::FleetViewPointer aView,
                            Core::TimePoint aNow)
  {
    return mViews.activate(std::move(aView), aNow);
  }

  const Routing::FleetViewPointer& view() const { return mViews.current(); }
  const BalancerCounters& counters() const { return mCounters; }

  /** Forwards a packet from the fabric, or processes an owner notice. */
  void handleDatagram(absl::Span<const std::uint8_t> aDatagram,
                      Core::TimePoint aNow)
  {
    mCounters.increment(BalancerCounter::PacketsReceived);
    const auto gue = Packet::GuePacket::parse(aDatagram);
    if (!gue.ok()) {
      mCounters.increment(BalancerCounter::PacketsMalformed);
      return;
    }
    if (gue->content == Packet::GueContent::ControlMessage) {
      handleControlMessage(gue->body, aNow);
      return;
    }
    const auto packet =
      Packet::PacketView::parse(gue->body, Packet::Verify::Headers);
    if (!packet.ok()) {
      mCounters.increment(BalancerCounter::PacketsMalformed);
      return;
    }
    routePacket(*packet, aNow);
  }

private:
  struct Hop
  {
    Core::Endpoint endpoint;
    std::uint8_t homesSkipped = 0;
    /** False if the endpoint is that of the cached owner. */
    bool isHome = false;
  };

  void handleControlMessage(absl::Span<const std::uint8_t> aBody,
                            Core::TimePoint aNow)
  {
    Messages::PeerMessage message;
    const auto bodySize = static_cast<int>(aBody.size());
    if (!message.ParseFromArray(aBody.data(), bodySize) ||
        !message.has_owner_notice()) {
      mCounters.increment(BalancerCounter::PacketsMalformed);
      return;
    }
    const auto& notice = message.owner_notice();
    mCounters.increment(BalancerCounter::OwnerNotices);
    if (notice.home() != 0) {
      mFailureDetector.recordReply(notice.home());
    }
    if (notice.owner() != 0) {
      const auto hash = mHasher.hash(Messages::readFlow(notice.flow()));
      mOwners.insert(hash, notice.owner(), aNow);
    }
  }

  void routePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow)
  {
    const auto& view = mViews.current();
    const auto classView =
      view == nullptr
        ? Routing::ClassView{}
        : view->findClass(aPacket.destination(), aPacket.protocol());
    if (!classView) {
      mCounters.increment(BalancerCounter::PacketsWithoutService);
      return;
    }
    const auto hop = nextHop(aPacket, classView, aNow);
    if (hop.endpoint.isNull()) {
      mCounters.increment(BalancerCounter::PacketsWithoutTarget);
      return;
    }
    forward(aPacket, classView, hop);
  }

  Hop nextHop(const Packet::PacketView& aPacket,
              const Routing::ClassView& aClass,
              Core::TimePoint aNow)
  {
    const auto hash = mHasher.hash(aPacket.flowFromCaller());
    if (const auto owner = mOwners.find(hash, aNow); owner != 0) {
      const auto index = aClass.service->indexOf(owner);
      if (index && !aClass.service->targets[*index].endpoint.isNull()) {
        mCounters.increment(BalancerCounter::OwnerCacheHits);
        return { aClass.service->targets[*index].endpoint, 0, false };
      }
      mOwners.erase(hash);
    }
    const bool mayStartFlow =
      aPacket.isSyn() || aPacket.protocol() == Packet::Protocol::Udp;
    return nextHopToHome(*aClass.service, hash, mayStartFlow, aNow);
  }

  /**
   * Returns the first home that has an endpoint and is not suspected. If there
   * is none, the first home that has an endpoint is tried anyway.
   */
  Hop nextHopToHome(const Routing::ServiceView& aService,
                    std::uint64_t aHash,
                    bool aMayStartFlow,
                    Core::TimePoint aNow)
  {
    std::uint8_t skipped = 0;
    Hop fallback{ {}, 0, true };
    for (const auto index : aService.homeSelector.homes(aHash)) {
      const auto& entry = aService.targets[index];
      const auto identity = entry.target->identity;
      if (fallback.endpoint.isNull()) {
        fallback.endpoint = entry.endpoint;
      }
      if (entry.endpoint.isNull() ||
          mFailureDetector.isSuspected(identity, aNow)) {
        mCounters.increment(BalancerCounter::HomesSkipped);
        ++skipped;
        continue;
      }
      if (aMayStartFlow) {
        mFailureDetector.recordRequest(identity, aNow);
      }
      return { entry.endpoint, skipped, true };
    }
    return fallback;
  }

  void forward(const Packet::PacketView& aPacket,
               const Routing::ClassView& aClass,
               const Hop& aHop)
  {
    Packet::ForwardHeader header;
    header.homesSkipped = aHop.homesSkipped;
    header.wantsOwnerNotice = aHop.isHome;
    header.revision = mViews.current()->revision();
    header.service = aClass.service->service->identity;
    header.origin = mSelf;
    const auto privateData = header.encode();
    mBuffer.clear();
    Packet::GuePacket gue;
    gue.privateData = privateData;
    gue.body = aPacket.bytes();
    gue.appendTo(mBuffer);
    mOutput.send(aHop.endpoint, mBuffer);
    mCounters.increment(BalancerCounter::PacketsForwarded);
  }

  Output& mOutput;
  Core::Endpoint mSelf;
  Routing::FlowHasher mHasher;
  Routing::ViewHistory mViews;
  OwnerCache mOwners;
  HomeFailureDetector mFailureDetector;
  BalancerCounters mCounters;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace Balancing
