#pragma once

#include "steering/agentmessage.h"

#include "core/clock.h"
#include "core/endpoint.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

class ReplyProgress;

/** A balancer's estimate of one target's load. */
struct LoadEstimate
{
  ReportedLoad reported;
  Core::TimePoint reportedAt{};
  /** Mean of ReportedLoad::inProgress over the last second. */
  double meanInProgress = 0;
  /**
   * New flows of this balancer that the last report does not include. Each is
   * counted as one request.
   */
  std::uint32_t unreportedFlows = 0;
  /** How many of these flows are long-lived. */
  std::uint32_t unreportedLongLivedFlows = 0;
  /**
   * When the oldest message without a reply was sent; null if there is none.
   */
  Core::TimePoint unansweredSince{};
  /**
   * When a reply was found to be overdue; null if there is none. The agent gets
   * no new flow and is probed.
   */
  Core::TimePoint overdueAt{};
  /**
   * When the reply to the probe was overdue as well; null if the agent is not
   * suspected.
   */
  Core::TimePoint suspectedAt{};
  /**
   * The agent reported itself as unavailable and gets no new flow until this
   * time.
   */
  Core::TimePoint unavailableUntil{};
  /** The same for an ejected backend server, unless ejections are ignored. */
  Core::TimePoint ejectedUntil{};

  std::uint32_t inProgress() const
  {
    return reported.inProgress + unreportedFlows;
  }
  /** Including late requests. */
  std::uint32_t totalRequests() const
  {
    return inProgress() + reported.lateRequests;
  }
  std::uint32_t longLivedFlows() const
  {
    return reported.longLivedFlows + unreportedLongLivedFlows;
  }
  /**
   * Requests that the target may still take during its slow start;
   * std::nullopt if aLimit, the limit of the fleet map, is 0. A report that is
   * older than the slow-start window no longer describes it.
   */
  std::optional<std::uint32_t> slowStartBudget(std::uint16_t aLimit,
                                               Core::TimePoint aNow) const;
  bool isEjected(Core::TimePoint aNow) const { return ejectedUntil > aNow; }
  /** The backend server fails all requests. */
  bool isDown(Core::TimePoint aNow) const
  {
    return isEjected(aNow) && reported.isUnavailable;
  }
  bool isOverdue() const { return overdueAt != Core::TimePoint{}; }
  bool isSuspected() const { return suspectedAt != Core::TimePoint{}; }
};

/**
 * Tracks the load and the responsiveness of agents. An agent is suspected when
 * its replies to a message and to a probe after it are overdue, since one
 * message may be lost, and until the next message from it. Not thread-safe.
 */
class AgentLoadTable
{
public:
  /**
   * After this time a reply is overdue, if messages that were sent later have
   * been answered (ReplyProgress). Agents reply within milliseconds, and a
   * round trip between zones takes about ten. The timeout is half of the 200 ms
   * after which a caller retransmits its SYN.
   */
  static constexpr std::chrono::milliseconds kReplyTimeout{ 100 };
  /** Interval between two probes of an agent whose reply is overdue. */
  static constexpr std::chrono::milliseconds kProbeInterval{ 250 };
  /**
   * How long a target gets no new flow after it reported itself as unavailable.
   */
  static constexpr std::chrono::milliseconds kUnavailableBackoff{ 250 };
  /**
   * The same for an ejected one. Its agent reports when the ejection ends, so
   * the balancer's flows only serve as probes.
   */
  static constexpr std::chrono::milliseconds kEjectedBackoff{ 500 };

  explicit AgentLoadTable(ReplyProgress& aReplies)
    : mReplies(aReplies)
  {
  }

  /** Records that the agent has to reply to a message sent at aNow. */
  void expectReply(const Core::Endpoint& aAgent, Core::TimePoint aNow);
  void recordNewFlow(const Core::Endpoint& aAgent, bool aIsLongLived);
  void recordReport(const Core::Endpoint& aAgent,
                    const ReportedLoad& aLoad,
                    Core::TimePoint aNow);

  /** All values are zero for an unknown agent. */
  const LoadEstimate& find(const Core::Endpoint& aAgent) const;
  bool isSuspected(const Core::Endpoint& aAgent, Core::TimePoint aNow);
  /** No reply is overdue, and the agent did not report itself unavailable. */
  bool isUsable(const Core::Endpoint& aAgent, Core::TimePoint aNow);

  /**
   * Returns the agents with an overdue reply whose next probe is due, and marks
   * them as probed.
   */
  std::vector<Core::Endpoint> takeDueProbes(Core::TimePoint aNow);
  std::size_t suspectedCount() const { return mSuspectedCount; }
  /** Number of agents with an overdue reply, including the suspected ones. */
  std::size_t overdueCount() const { return mOverdueCount; }
  /** Number of agents that sent a message within the last aPeriod. */
  std::size_t recentlySeenCount(std::chrono::milliseconds aPeriod,
                                Core::TimePoint aNow) const;
  /** Removes the agents for which aIsKept returns false. */
  template<typename IsKept>
  void retainIf(IsKept aIsKept)
  {
    absl::erase_if(mEntries, [this, &aIsKept](auto& aEntry) {
      const bool isRemoved = !aIsKept(aEntry.second.agent);
      if (isRemoved) {
        clearSuspicion(aEntry.second.loadEstimate);
      }
      return isRemoved;
    });
  }

private:
  struct Entry
  {
    Core::Endpoint agent;
    LoadEstimate loadEstimate;
    Core::TimePoint lastProbeAt{};
  };

  Entry& findOrInsert(const Core::Endpoint& aAgent);
  void updateSuspicion(Entry& aEntry, Core::TimePoint aNow);
  static void updateMean(LoadEstimate& aLoadEstimate,
                         const ReportedLoad& aLoad,
                         Core::TimePoint aNow);
  void clearSuspicion(LoadEstimate& aLoadEstimate);

  ReplyProgress& mReplies;
  absl::flat_hash_map<std::uint64_t, Entry> mEntries;
  std::size_t mOverdueCount = 0;
  std::size_t mSuspectedCount = 0;
};

} // namespace Steering
