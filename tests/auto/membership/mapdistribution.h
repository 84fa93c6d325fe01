#pragma once

#include "membership/mapfollowing.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace MembershipTesting {

/**
 * Deterministic simulation of processes that follow the platform's store, on a
 * manual clock. The decisions are the production code; the network and the
 * store are simulated.
 */
class MapDistribution
{
public:
  struct Settings
  {
    std::size_t processCount = 60;
    std::size_t zoneCount = 5;
    /** Probability that a datagram is lost. */
    double loss = 0.01;
    unsigned seed = 1;
  };

  explicit MapDistribution(const Settings& aSettings);
  ~MapDistribution();

  void advance(std::chrono::milliseconds aDuration);
  /** Publishes a change; returns its number. */
  std::uint64_t change();

  std::size_t processCount() const;
  /** Processes that wait for the store now. */
  std::vector<std::size_t> storeCallers() const;
  std::size_t storeCallCount() const { return mStoreCallCount; }
  std::size_t datagramCount() const { return mDatagramCount; }
  std::size_t datagramBytes() const { return mDatagramBytes; }
  std::uint64_t knownChange(std::size_t aProcess) const;
  /** Running processes that do not have the last change. */
  std::vector<std::size_t> outdated() const;
  bool isRunning(std::size_t aProcess) const;
  /** Age of the oldest change that a running process with a map lacks. */
  std::chrono::milliseconds lag(std::size_t aProcess) const;
  std::size_t zoneOf(std::size_t aProcess) const;

  void kill(std::size_t aProcess);
  /** SIGTERM: the process runs on, and ends after aRunTime. */
  void terminate(std::size_t aProcess, std::chrono::milliseconds aRunTime);
  void start(std::size_t aProcess);
  /** A stopped process keeps its state and gets what arrived meanwhile. */
  void suspend(std::size_t aProcess);
  void resume(std::size_t aProcess);
  /** Calls of the process end without an answer after the keep-alive time. */
  void cutFromStore(std::size_t aProcess, bool aIsCut);
  /**
   * A silent store never answers the calls that wait or begin meanwhile; their
   * connections stay open.
   */
  void setStoreSilent(bool aIsSilent);
  void cutFromPeers(std::size_t aProcess, bool aIsCut);

private:
  struct Process;
  struct Event
  {
    Core::TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator>(const Event& aOther) const
    {
      return std::tie(at, number) > std::tie(aOther.at, aOther.number);
    }
  };

  void schedule(std::chrono::milliseconds aDelay,
                std::function<void()> aAction);
  /** Runs the action when the process runs; not if it was restarted. */
  void scheduleAt(std::size_t aProcess,
                  std::chrono::milliseconds aDelay,
                  const std::function<void(Process&)>& aAction);
  void send(std::size_t aFrom,
            const std::vector<Membership::OutgoingMessage>& aMessages);
  void tick(std::size_t aProcess);
  void runStep(std::size_t aProcess);
  void callStore(std::size_t aProcess);
  void endStoreCall(std::size_t aProcess, bool aIsAnswered);
  void fetch(std::size_t aProcess, std::size_t aPeer);
  void endFetch(std::size_t aProcess, std::size_t aPeer, bool aIsAnswered);
  /** The thread that follows the store does nothing for a time. */
  void pauseSteps(std::size_t aProcess);
  void learn(std::size_t aProcess, std::uint64_t aChange);
  std::chrono::milliseconds delayBetween(std::size_t aFrom,
                                         std::size_t aTo) const;

  Settings mSettings;
  std::mt19937_64 mRandom;
  Core::TimePoint mNow{ std::chrono::seconds(1'000) };
  std::uint64_t mEventNumber = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<std::unique_ptr<Process>> mProcesses;
  std::uint64_t mChange = 1;
  /** When each change was published, from the second on. */
  std::vector<Core::TimePoint> mChangeTimes;
  std::size_t mStoreCallCount = 0;
  bool mIsStoreSilent = false;
  std::size_t mDatagramCount = 0;
  std::size_t mDatagramBytes = 0;
};

} // namespace MembershipTesting
