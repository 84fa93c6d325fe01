#pragma once

#include "steering/pendingopenings.h"
#include "steering/slotwait.h"
#include "steering/steerercontext.h"
#include "steering/targetselection.h"

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Steering {

/**
 * Places new flows: answers a burst, the silence of a target, and the return
 * of a whole fleet. A new flow goes to a target with a free slot; else to one
 * where it waits so little that its answer can still be in time; else it waits
 * here, and the newest leave first, since the others are late already.
 */
template<PacketFormat Format, SteererPort Port>
class OpeningSide
{
public:
  using PacketType = typename Format::Packet;

  /** Waiting openings are tried again so often, and when a target has room. */
  static constexpr std::chrono::milliseconds kRetryInterval{ 20 };
  /** So many targets turn one opening away before it waits. */
  static constexpr int kMostTries = 8;

  explicit OpeningSide(SteererContext<Format, Port>& aContext)
    : mContext(aContext)
    , mPending(aContext.self.attempts)
  {
  }

  /** Handles the opening packet of a flow, or a copy of it. */
  void handle(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              Core::TimePoint aNow)
  {
    auto* known = mContext.flows.find(aFlow);
    if (known != nullptr && (known->isConfirmed || known->isEstablished)) {
      known->lastPacketAt = aNow;
      const auto* route = mContext.findRoute(aFlow);
      mContext.forward(aPacket, *route, *known);
      return;
    }
    auto* pending = mPending.find(aFlow);
    if (pending == nullptr) {
      pending =
        mPending.add(aFlow, aPacket.bytes(), aPacket.copyNumber(), aNow);
      if (pending == nullptr) {
        mContext.counters.increment(SteeringCounter::OpeningsDropped);
        return;
      }
    } else {
      mContext.counters.increment(SteeringCounter::OpeningsRepeated);
      mPending.noteCopy(*pending, aPacket.copyNumber(), aNow);
      const bool mayStillAnswer =
        aNow - pending->sentAt < LoadTable::kAnswerTimeout;
      if (pending->isWaiting() || mayStillAnswer) {
        return;
      }
      leaveSilent(*pending, aNow);
    }
    place(*pending, aNow);
  }

  /** An agent handed an opening packet back. */
  void handleBack(const Packet::FlowKey& aFlow,
                  const Core::Endpoint& aFrom,
                  HandBackReason aReason,
                  Core::TimePoint aNow)
  {
    auto& memory = mContext.flows.findOrInsert(aFlow, aNow);
    if (aReason == HandBackReason::Full) {
      mContext.counters.increment(SteeringCounter::FlowsTurnedAway);
      ++memory.turnedAway;
    } else {
      memory.passedOver.add(aFrom);
    }
    if (aReason == HandBackReason::Refused ||
        aReason == HandBackReason::WrongService ||
        aReason == HandBackReason::Leaving) {
      memory.declinedBy.add(aFrom);
    }
    auto* pending = mPending.find(aFlow);
    if (pending == nullptr || pending->agent != aFrom) {
      // It was answered, or sent elsewhere, in the meantime.
      return;
    }
    pending->agent = {};
    place(*pending, aNow);
  }

  /** A target answered the opening, or the caller goes on. */
  void noteAnswered(const Packet::FlowKey& aFlow) { mPending.erase(aFlow); }

  /** Tries what waits again, after a new map or a report. */
  void retryWaiting(Core::TimePoint aNow)
  {
    mRetriedAt = aNow;
    // Where a fresh one finds no room no other does; late ones still may.
    absl::flat_hash_set<std::pair<const Service*, bool>> full;
    const auto freshTime = [this](const auto& aFlow) {
      const auto* route = mContext.findRoute(aFlow);
      return route == nullptr ? std::chrono::milliseconds(0)
                              : route->latencyObjective;
    };
    for (const auto& [flow, isFresh] : mPending.waiting(freshTime, aNow)) {
      auto* pending = mPending.find(flow);
      const auto kind = std::make_pair(serviceOf(flow), isFresh);
      if (pending == nullptr || full.contains(kind)) {
        continue;
      }
      place(*pending, aNow);
      pending = mPending.find(flow);
      if (pending != nullptr && pending->isWaiting()) {
        full.insert(kind);
      }
    }
  }

  void tick(Core::TimePoint aNow)
  {
    if (mPending.isEmpty()) {
      return;
    }
    expire(aNow);
    for (const auto& flow :
         mPending.unanswered(LoadTable::kAnswerTimeout, aNow)) {
      auto* pending = mPending.find(flow);
      leaveSilent(*pending, aNow);
      place(*pending, aNow);
    }
    if (aNow - mRetriedAt >= kRetryInterval) {
      retryWaiting(aNow);
    }
  }

  /** When tick() is due; nothing while nothing is pending. */
  std::optional<std::chrono::milliseconds> timeToTick() const
  {
    if (mPending.isEmpty()) {
      return std::nullopt;
    }
    return kRetryInterval;
  }

  bool hasWaiting() const { return mPending.waitingCount() > 0; }

private:
  const Service* serviceOf(const Packet::FlowKey& aFlow) const
  {
    const auto* route = mContext.findRoute(aFlow);
    if (route == nullptr) {
      return nullptr;
    }
    return &mContext.map->services()[selectService(*route, flowHash(aFlow))];
  }

  /** The agent that got the opening does not answer; another is tried. */
  void leaveSilent(PendingOpening& aPending, Core::TimePoint aNow)
  {
    if (mContext.loads.isSuspected(aPending.agent, aNow)) {
      mContext.counters.increment(SteeringCounter::TargetsSuspected);
      mContext.events.write(Telemetry::Event::TargetSuspected, [&] {
        return mContext.flowFields(aPending.flow)
          .add("agent", Core::formatEndpoint(aPending.agent));
      });
    }
    mContext.flows.findOrInsert(aPending.flow, aNow)
      .passedOver.add(aPending.agent);
    aPending.agent = {};
  }

  /** Sends an opening to the best target, or lets it wait, or refuses it. */
  void place(PendingOpening& aPending, Core::TimePoint aNow)
  {
    if (mContext.map == nullptr) {
      return;
    }
    const auto packet = Format::parse(aPending.packet);
    const auto flow = aPending.flow;
    const auto* route = mContext.findRoute(flow);
    if (route == nullptr) {
      if (mContext.isMapCurrent()) {
        mContext.resetUnknown(*packet, "no route");
      }
      mPending.erase(flow);
      return;
    }
    auto& memory = mContext.flows.findOrInsert(flow, aNow);
    const auto hash = flowHash(flow);
    const auto& service = mContext.map->services()[selectService(*route, hash)];
    collectCandidates(service, memory, aNow);
    if (mCandidates.empty()) {
      if (isDeclinedByAll(service, memory, aNow)) {
        refuse(*packet, flow, service);
        return;
      }
      // Those that were silent may be asked again once they answer.
      memory.passedOver = memory.declinedBy;
    }
    if (memory.turnedAway < kMostTries) {
      send(aPending, *packet, *route, memory, hash, aNow);
    }
    memory.turnedAway = aPending.isWaiting() ? 0 : memory.turnedAway;
  }

  void send(PendingOpening& aPending,
            const PacketType& aPacket,
            const Route& aRoute,
            RememberedFlow& aMemory,
            std::uint64_t aHash,
            Core::TimePoint aNow)
  {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow - aPending.firstAt);
    const auto* chosen = age < aRoute.latencyObjective
                           ? selectForFresh(aRoute, aHash)
                           : selectForLate(mCandidates);
    if (chosen == nullptr) {
      return;
    }
    aMemory.agent = chosen->target->agent;
    aPending.agent = aMemory.agent;
    aPending.sentAt = aNow;
    auto& counters = mContext.counters;
    counters.increment(SteeringCounter::FlowsChosen);
    counters.increment(SteeringCounter::FlowsAcrossZones,
                       chosen->isOwnZone ? 0 : 1);
    notePlaced(aPending.flow, *chosen, age, aNow);
    mContext.loads.noteAsked(aMemory.agent, aNow);
    mContext.loads.noteFlow(aMemory.agent,
                            aRoute.habit == FlowHabit::ManyRequests);
    mContext.forward(aPacket, aRoute, aMemory, age);
  }

  void notePlaced(const Packet::FlowKey& aFlow,
                  const Candidate& aChosen,
                  std::chrono::milliseconds aAge,
                  Core::TimePoint aNow)
  {
    mContext.events.write(Telemetry::Event::FlowPlaced, [&] {
      const auto& load = *aChosen.load;
      auto fields = mContext.flowFields(aFlow);
      fields.add("agent", Core::formatEndpoint(aChosen.target->agent))
        .add("target", aChosen.target->name)
        .add("candidates", mCandidates.size())
        .add("inProgress", load.inProgress())
        .add("longFlows", load.longFlows())
        .add("zone", aChosen.target->zone)
        .add("waitedMs", aAge)
        .add("revision", mContext.map->revision());
      if (load.reportedAt != Core::TimePoint{}) {
        fields.add("loadAgeMs",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                     aNow - load.reportedAt));
      }
      return fields;
    });
  }

  /** A target that can answer in time; null when there is none. */
  const Candidate* selectForFresh(const Route& aRoute, std::uint64_t aHash)
  {
    mShortlist = shortlist(mCandidates, aHash);
    const auto* chosen = selectTarget(mShortlist, aRoute.habit, aHash);
    if (chosen != nullptr && expectedWait(*chosen).count() > 0) {
      chosen = selectTarget(mShortlist, FlowHabit::OneRequest, aHash);
    }
    if (chosen != nullptr && expectedWait(*chosen).count() > 0) {
      chosen = selectTarget(mCandidates, FlowHabit::OneRequest, aHash);
    }
    const bool isInTime =
      chosen != nullptr &&
      expectedWait(*chosen) <= longestWait(aRoute.latencyObjective);
    return isInTime ? chosen : nullptr;
  }

  void collectCandidates(const Service& aService,
                         const RememberedFlow& aMemory,
                         Core::TimePoint aNow)
  {
    mCandidates.clear();
    for (const auto& target : aService.targets) {
      const bool isOut = !target.takesNewFlows(aNow) ||
                         aMemory.passedOver.contains(target.agent) ||
                         !mContext.loads.isUsable(target.agent, aNow);
      if (!isOut) {
        mCandidates.push_back({ &target,
                                &mContext.loads.find(target.agent),
                                target.zone == mContext.self.zone,
                                target.warmUntil <= aNow });
      }
    }
  }

  /**
   * Each target that may take new flows said that it does not take this one.
   * One that was silent may have answered the caller all the same.
   */
  static bool isDeclinedByAll(const Service& aService,
                              const RememberedFlow& aMemory,
                              Core::TimePoint aNow)
  {
    bool isAnyAsked = false;
    for (const auto& target : aService.targets) {
      if (!target.takesNewFlows(aNow)) {
        continue;
      }
      isAnyAsked = true;
      if (!aMemory.declinedBy.contains(target.agent)) {
        return false;
      }
    }
    return isAnyAsked;
  }

  void refuse(const PacketType& aPacket,
              const Packet::FlowKey& aFlow,
              const Service& aService)
  {
    mContext.counters.increment(SteeringCounter::FlowsRefused);
    mContext.events.write(Telemetry::Event::FlowRefused, [&] {
      return mContext.flowFields(aFlow)
        .add("name", aService.name)
        .add("why", "no target takes it")
        .add("targets", aService.targets.size())
        .add("revision", mContext.map->revision());
    });
    mContext.sendReset(aPacket);
    mContext.flows.erase(aFlow);
    mPending.erase(aFlow);
  }

  /** The callers have ended these attempts. */
  void expire(Core::TimePoint aNow)
  {
    for (const auto& it : mPending.takeExpired(aNow)) {
      mContext.counters.increment(SteeringCounter::OpeningsExpired);
      mContext.events.write(Telemetry::Event::OpeningExpired, [&] {
        return mContext.flowFields(it.flow)
          .add("why",
               it.isWaiting() ? "no target had room"
                              : "its target did not answer")
          .add("agent",
               it.isWaiting() ? "none" : Core::formatEndpoint(it.agent));
      });
    }
  }

  SteererContext<Format, Port>& mContext;
  PendingOpenings mPending;
  std::vector<Candidate> mCandidates;
  /** Those of them where a flow is found with little effort. */
  std::vector<Candidate> mShortlist;
  Core::TimePoint mRetriedAt{};
};

} // namespace Steering
