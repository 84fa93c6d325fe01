#pragma once

#include "storefixture.h"

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

/**
 * Runs the parts of balancers that follow the platform's store, with real
 * sockets, while the store fails in random ways and the processes restart.
 * Checks that a change which is written while the store has been well for a
 * while is in force everywhere in time, and that no process goes back to an
 * older configuration.
 */
class StoreSoak
{
public:
  struct Settings
  {
    unsigned seed = 1;
    std::chrono::seconds duration{ 60 };
    std::size_t processCount = 8;
  };

  explicit StoreSoak(const Settings& aSettings);

  /** Returns a line for each violation. */
  std::vector<std::string> run();
  /** Number of changes that had to be in force in time. */
  std::size_t checkedChangeCount() const { return mCheckedChangeCount; }
  std::size_t storeCallCount() const { return mStore.callCount(); }

private:
  struct Process
  {
    std::unique_ptr<PlatformTesting::Follower> follower;
    Core::TimePoint startedAt{};
    std::uint64_t highestVersion = 0;
  };
  /** A new configuration, together with a server that leaves. */
  struct Change
  {
    unsigned version = 0;
    std::string drainedAddress;
    Core::TimePoint writtenAt{};
  };

  void start(Process& aProcess);
  void performAction();
  /** Faults and changes follow each other, each for a random time. */
  void updatePhase();
  void endDueFailures();
  void writeChange();
  void writeOddEntry();
  void check();
  void checkChange(const Change& aChange);
  std::chrono::milliseconds randomTime(std::int64_t aMinimum,
                                       std::int64_t aMaximum);
  void addViolation(const std::string& aText);

  Settings mSettings;
  std::mt19937 mRandom;
  Core::SystemClock mClock;
  Core::TimePoint mStartedAt;
  Standins::PlatformStore mStore;
  std::vector<Process> mProcesses;
  bool mIsFailurePhase = false;
  Core::TimePoint mPhaseEnd{};
  Core::TimePoint mSilentUntil{};
  Core::TimePoint mUnavailableUntil{};
  /** When the store last failed or a process was started again. */
  Core::TimePoint mFailedAt{};
  std::vector<Change> mUncheckedChanges;
  unsigned mVersion = 0;
  std::size_t mCheckedChangeCount = 0;
  std::vector<std::string> mViolations;
};
