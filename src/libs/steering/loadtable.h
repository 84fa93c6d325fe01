#pragma once

#include "steering/agentmessage.h"

#include "core/clock.h"
#include "core/endpoint.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <vector>

namespace Steering {

/** What a balancer believes of one target's load. */
struct LoadBelief
{
  ReportedLoad reported;
  Core::TimePoint reportedAt{};
  /** Own new flows that no report can show yet; each brings a request. */
  std::uint32_t unreported = 0;
  /** Those of them that stay open. */
  std::uint32_t unreportedLong = 0;
  /** When the oldest message without an answer was sent; null for none. */
  Core::TimePoint askedAt{};
  /** The agent owed an answer for too long since then; null for none. */
  Core::TimePoint suspectedAt{};
  /** No new flow before, since the agent said so. */
  Core::TimePoint unavailableUntil{};

  std::uint32_t inProgress() const { return reported.inProgress + unreported; }
  /** Late ones as well. */
  std::uint32_t allRequests() const
  {
    return inProgress() + reported.lateRequests;
  }
  std::uint32_t longFlows() const
  {
    return reported.longFlows + unreportedLong;
  }
  bool isSuspected() const { return suspectedAt != Core::TimePoint{}; }
};

/**
 * Loads and silences of agents, by what they answered. A message that wants an
 * answer and gets none makes an agent suspected; any message from it ends
 * that. Used by one thread.
 */
class LoadTable
{
public:
  /**
   * An agent answers in milliseconds; a round trip between zones takes some
   * ten. Half of the 200 ms after which a caller repeats its first packet.
   */
  static constexpr std::chrono::milliseconds kAnswerTimeout{ 100 };
  /** A suspected agent is asked again so often. */
  static constexpr std::chrono::milliseconds kProbeInterval{ 250 };
  /** A target that says it is unavailable is left alone for so long. */
  static constexpr std::chrono::milliseconds kUnavailableTime{ 250 };

  /** A message that the agent has to answer is sent. */
  void noteAsked(const Core::Endpoint& aAgent, Core::TimePoint aNow);
  void noteFlow(const Core::Endpoint& aAgent, bool aIsLong);
  void noteReport(const Core::Endpoint& aAgent,
                  const ReportedLoad& aLoad,
                  Core::TimePoint aNow);

  /** Beliefs of an agent that was never heard of are all zero. */
  const LoadBelief& find(const Core::Endpoint& aAgent) const;
  bool isSuspected(const Core::Endpoint& aAgent, Core::TimePoint aNow);
  /** Not suspected, and not said to be unavailable. */
  bool isUsable(const Core::Endpoint& aAgent, Core::TimePoint aNow);

  /** Suspected agents that it is time to ask again. */
  std::vector<Core::Endpoint> takeDueProbes(Core::TimePoint aNow);
  std::size_t suspectedCount() const { return mSuspectedCount; }
  /** Agents that were heard within aTime. */
  std::size_t heardWithin(std::chrono::milliseconds aTime,
                          Core::TimePoint aNow) const;
  /** Forgets agents that aKeep does not name. */
  template<typename Keep>
  void forgetUnless(Keep aKeep)
  {
    absl::erase_if(mBeliefs, [this, &aKeep](const auto& aEntry) {
      const bool isForgotten = !aKeep(aEntry.second.agent);
      if (isForgotten && aEntry.second.belief.isSuspected()) {
        --mSuspectedCount;
      }
      return isForgotten;
    });
  }

private:
  struct Entry
  {
    Core::Endpoint agent;
    LoadBelief belief;
    Core::TimePoint probedAt{};
  };

  Entry& entryOf(const Core::Endpoint& aAgent);
  void updateSuspicion(Entry& aEntry, Core::TimePoint aNow);

  absl::flat_hash_map<std::uint64_t, Entry> mBeliefs;
  std::size_t mSuspectedCount = 0;
};

} // namespace Steering
