#pragma once

#include "balancing/balancercounters.h"
#include "balancing/homewatch.h"
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

/** Where a balancer's datagrams go. */
template<typename T>
concept BalancerPort = requires(T& aPort,
                                const Core::Endpoint& aTo,
                                absl::Span<const std::uint8_t> aDatagram)
{
  aPort.send(aTo, aDatagram);
};

/**
 * The decisions of a balancer. Any balancer sends a packet right with an
 * empty memory; what it remembers saves a hop. Used by one thread.
 */
template<BalancerPort Port>
class BalancerEngine
{
public:
  static constexpr std::size_t kOwnerCacheCapacity = 1'000'000;
  static constexpr std::chrono::seconds kOwnerCacheGeneration{ 60 };

  BalancerEngine(Port& aPort,
                 const Core::Endpoint& aSelf,
                 const Config::FlowHashKey& aKey)
    : mPort(aPort)
    , mSelf(aSelf)
    , mHasher(aKey)
    , mOwners(kOwnerCacheCapacity, kOwnerCacheGeneration)
  {
  }

  /** Fails for a view that may not replace the one in force. */
  absl::Status adoptView(Routing::FleetViewPointer aView, Core::TimePoint aNow)
  {
    return mViews.adopt(std::move(aView), aNow);
  }

  const Routing::FleetViewPointer& view() const { return mViews.current(); }
  const BalancerCounters& counters() const { return mCounters; }

  /** Handles one datagram from the fabric or from an agent. */
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
      handleControl(gue->body, aNow);
      return;
    }
    const auto packet =
      Packet::PacketView::parse(gue->body, Packet::Verify::Headers);
    if (!packet.ok()) {
      mCounters.increment(BalancerCounter::PacketsMalformed);
      return;
    }
    handlePacket(*packet, aNow);
  }

private:
  struct Hop
  {
    Core::Endpoint endpoint;
    std::uint8_t homesSkipped = 0;
    /** False when the endpoint is the remembered owner's. */
    bool isHome = false;
  };

  void handleControl(absl::Span<const std::uint8_t> aBody, Core::TimePoint aNow)
  {
    Messages::PeerMessage message;
    const auto n = static_cast<int>(aBody.size());
    if (!message.ParseFromArray(aBody.data(), n) ||
        !message.has_owner_notice()) {
      mCounters.increment(BalancerCounter::PacketsMalformed);
      return;
    }
    const auto& notice = message.owner_notice();
    mCounters.increment(BalancerCounter::OwnerNotices);
    if (notice.home() != 0) {
      mHomes.noteAnswered(notice.home());
    }
    if (notice.owner() != 0) {
      const auto hash = mHasher.hash(Messages::readFlow(notice.flow()));
      mOwners.insert(hash, notice.owner(), aNow);
    }
  }

  void handlePacket(const Packet::PacketView& aPacket, Core::TimePoint aNow)
  {
    const auto& view = mViews.current();
    const auto found = view == nullptr ? Routing::ClassView{}
                                       : view->findClass(aPacket.destination(),
                                                         aPacket.protocol());
    if (!found) {
      mCounters.increment(BalancerCounter::PacketsWithoutService);
      return;
    }
    const auto hop = nextHop(aPacket, found, aNow);
    if (hop.endpoint.isNull()) {
      mCounters.increment(BalancerCounter::PacketsWithoutTarget);
      return;
    }
    forward(aPacket, found, hop);
  }

  Hop nextHop(const Packet::PacketView& aPacket,
              const Routing::ClassView& aClass,
              Core::TimePoint aNow)
  {
    const auto hash = mHasher.hash(aPacket.flowToService());
    if (const auto owner = mOwners.find(hash, aNow); owner != 0) {
      const auto index = aClass.service->indexOf(owner);
      if (index && !aClass.service->targets[*index].endpoint.isNull()) {
        mCounters.increment(BalancerCounter::OwnerCacheHits);
        return { aClass.service->targets[*index].endpoint, 0, false };
      }
      mOwners.erase(hash);
    }
    const bool mayOpen =
      aPacket.isOpening() || aPacket.protocol() == Packet::Protocol::Udp;
    return homeHop(*aClass.service, hash, mayOpen, aNow);
  }

  Hop homeHop(const Routing::ServiceView& aService,
              std::uint64_t aHash,
              bool aMayOpen,
              Core::TimePoint aNow)
  {
    std::uint8_t skipped = 0;
    Hop fallback{ {}, 0, true };
    for (const auto index : aService.ring.homes(aHash)) {
      const auto& place = aService.targets[index];
      const auto identity = place.target->identity;
      if (fallback.endpoint.isNull()) {
        fallback.endpoint = place.endpoint;
      }
      if (place.endpoint.isNull() || mHomes.isSuspected(identity, aNow)) {
        mCounters.increment(BalancerCounter::HomesSkipped);
        ++skipped;
        continue;
      }
      if (aMayOpen) {
        mHomes.noteAsked(identity, aNow);
      }
      return { place.endpoint, skipped, true };
    }
    return fallback;
  }

  void forward(const Packet::PacketView& aPacket,
               const Routing::ClassView& aClass,
               const Hop& aHop)
  {
    Packet::ForwardHeader header;
    header.homesSkipped = aHop.homesSkipped;
    header.wantsNotice = aHop.isHome;
    header.revision = mViews.current()->revision();
    header.service = aClass.service->service->identity;
    header.origin = mSelf;
    const auto privateData = header.encode();
    mBuffer.clear();
    Packet::GuePacket gue;
    gue.privateData = privateData;
    gue.body = aPacket.bytes();
    gue.appendTo(mBuffer);
    mPort.send(aHop.endpoint, mBuffer);
    mCounters.increment(BalancerCounter::PacketsForwarded);
  }

  Port& mPort;
  Core::Endpoint mSelf;
  Routing::FlowHasher mHasher;
  Routing::ViewHistory mViews;
  OwnerCache mOwners;
  HomeWatch mHomes;
  BalancerCounters mCounters;
  std::vector<std::uint8_t> mBuffer;
};

} // namespace Balancing
