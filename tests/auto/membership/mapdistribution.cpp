#include "mapdistribution.h"

#include <algorithm>
#include <utility>

namespace MembershipTesting {

namespace {

using namespace std::chrono_literals;
using Membership::Address;
using Membership::MapStep;

constexpr Address kFirstAddress = 0x0A000001;
constexpr std::chrono::milliseconds kInZoneDelay{ 1 };
constexpr std::chrono::milliseconds kCrossZoneDelay{ 5 };
constexpr std::chrono::milliseconds kStoreDelay{ 4 };
/** A call that is not answered ends this long after its wait time. */
constexpr std::chrono::milliseconds kWatchTimeoutMargin{ 600 };
/** Time in which keep-alive probes detect a silent connection. */
constexpr std::chrono::milliseconds kKeepAliveTime{ 3'000 };
constexpr std::chrono::milliseconds kFetchTimeout{ 300 };
constexpr std::chrono::milliseconds kStoreTimeout{ 150 };
/** Pause after an answer with changes, of the store or of a peer. */
constexpr std::chrono::milliseconds kWatchDelay{ 400 };
constexpr std::chrono::milliseconds kShortWaitTime{ 50 };
constexpr std::chrono::milliseconds kRetryDelay{ 300 };
constexpr std::chrono::milliseconds kStartSpread{ 300 };
constexpr std::size_t kSeedCount = 3;

Address
addressOf(std::size_t aProcess)
{
  return kFirstAddress + static_cast<Address>(aProcess);
}

std::size_t
processAt(Address aAddress)
{
  return aAddress - kFirstAddress;
}

} // namespace

struct MapDistribution::Process
{
  std::unique_ptr<Membership::MapFollowing> following;
  /** Distinguishes the starts of a process. */
  std::uint64_t incarnation = 0;
  std::uint64_t knownChange = 0;
  bool isSuspended = false;
  bool isCutFromStore = false;
  bool isCutFromPeers = false;
  bool isCallingStore = false;
  /** The store does not answer the current call. */
  bool isCallLost = false;
  bool hasStoreFailed = false;
  bool isFetching = false;
  Core::TimePoint pausedUntil{};
  std::uint64_t storeCall = 0;
  /** What arrived while it was suspended. */
  std::vector<std::function<void(Process&)>> pending;
};

MapDistribution::MapDistribution(const Settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
{
  for (std::size_t i = 0; i < aSettings.processCount; ++i) {
    mProcesses.push_back(std::make_unique<Process>());
    const auto delay =
      std::chrono::milliseconds(mRandom() % kStartSpread.count());
    schedule(delay, [this, i] { start(i); });
  }
}

MapDistribution::~MapDistribution() = default;

void
MapDistribution::advance(std::chrono::milliseconds aDuration)
{
  const auto end = mNow + aDuration;
  while (!mEvents.empty() && mEvents.top().at <= end) {
    mNow = mEvents.top().at;
    const auto action = mEvents.top().action;
    mEvents.pop();
    action();
  }
  mNow = end;
}

std::uint64_t
MapDistribution::change()
{
  ++mChange;
  mChangeTimes.push_back(mNow);
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    const auto& process = *mProcesses[i];
    if (process.isCallingStore && !process.isCutFromStore &&
        !process.isCallLost) {
      const auto call = process.storeCall;
      scheduleAt(i, kStoreDelay, [this, i, call](Process& aProcess) {
        if (aProcess.storeCall == call) {
          endStoreCall(i, true);
        }
      });
    }
  }
  return mChange;
}

std::size_t
MapDistribution::processCount() const
{
  return mProcesses.size();
}

std::vector<std::size_t>
MapDistribution::storeCallers() const
{
  std::vector<std::size_t> callers;
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    if (mProcesses[i]->following != nullptr && mProcesses[i]->isCallingStore) {
      callers.push_back(i);
    }
  }
  return callers;
}

std::uint64_t
MapDistribution::knownChange(std::size_t aProcess) const
{
  return mProcesses[aProcess]->knownChange;
}

std::vector<std::size_t>
MapDistribution::outdated() const
{
  std::vector<std::size_t> processes;
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    const auto& process = *mProcesses[i];
    if (process.following != nullptr && !process.isSuspended &&
        process.knownChange < mChange) {
      processes.push_back(i);
    }
  }
  return processes;
}

bool
MapDistribution::isRunning(std::size_t aProcess) const
{
  return mProcesses[aProcess]->following != nullptr;
}

std::chrono::milliseconds
MapDistribution::lag(std::size_t aProcess) const
{
  const auto known = mProcesses[aProcess]->knownChange;
  if (!isRunning(aProcess) || known == 0 || known == mChange) {
    return 0ms;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    mNow - mChangeTimes[known - 1]);
}

std::size_t
MapDistribution::zoneOf(std::size_t aProcess) const
{
  return aProcess % mSettings.zoneCount;
}

void
MapDistribution::kill(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  process.following.reset();
  process.pending.clear();
  process.isCallingStore = false;
  process.isFetching = false;
  process.pausedUntil = {};
  ++process.incarnation;
}

void
MapDistribution::terminate(std::size_t aProcess,
                           std::chrono::milliseconds aRunTime)
{
  send(aProcess, mProcesses[aProcess]->following->leave(mNow));
  scheduleAt(
    aProcess, aRunTime, [this, aProcess](Process&) { kill(aProcess); });
}

void
MapDistribution::start(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  ++process.incarnation;
  process.isSuspended = false;
  process.knownChange = 0;
  Membership::MemberTable table(addressOf(aProcess),
                                static_cast<std::uint32_t>(zoneOf(aProcess)),
                                mRandom());
  std::vector<Address> seeds;
  for (std::size_t i = 0; i < std::min(kSeedCount, mProcesses.size()); ++i) {
    seeds.push_back(addressOf(i));
  }
  table.setSeeds(seeds);
  process.following =
    std::make_unique<Membership::MapFollowing>(std::move(table), mNow);
  tick(aProcess);
  callStore(aProcess);
}

void
MapDistribution::suspend(std::size_t aProcess)
{
  mProcesses[aProcess]->isSuspended = true;
}

void
MapDistribution::resume(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  process.isSuspended = false;
  for (const auto& action : std::exchange(process.pending, {})) {
    action(process);
  }
}

void
MapDistribution::cutFromStore(std::size_t aProcess, bool aIsCut)
{
  auto& process = *mProcesses[aProcess];
  process.isCutFromStore = aIsCut;
  if (aIsCut && process.isCallingStore) {
    const auto call = process.storeCall;
    scheduleAt(
      aProcess, kKeepAliveTime, [this, aProcess, call](Process& aTarget) {
        if (aTarget.storeCall == call) {
          endStoreCall(aProcess, false);
        }
      });
  }
}

void
MapDistribution::setStoreSilent(bool aIsSilent)
{
  mIsStoreSilent = aIsSilent;
  for (auto& process : mProcesses) {
    process->isCallLost =
      process->isCallLost || (aIsSilent && process->isCallingStore);
  }
}

void
MapDistribution::cutFromPeers(std::size_t aProcess, bool aIsCut)
{
  mProcesses[aProcess]->isCutFromPeers = aIsCut;
}

void
MapDistribution::schedule(std::chrono::milliseconds aDelay,
                          std::function<void()> aAction)
{
  mEvents.push({ mNow + aDelay, ++mEventNumber, std::move(aAction) });
}

void
MapDistribution::scheduleAt(std::size_t aProcess,
                            std::chrono::milliseconds aDelay,
                            const std::function<void(Process&)>& aAction)
{
  const auto incarnation = mProcesses[aProcess]->incarnation;
  schedule(aDelay, [this, aProcess, incarnation, aAction] {
    auto& process = *mProcesses[aProcess];
    if (process.incarnation != incarnation || process.following == nullptr) {
      return;
    }
    if (process.isSuspended) {
      process.pending.push_back(aAction);
    } else {
      aAction(process);
    }
  });
}

void
MapDistribution::send(std::size_t aFrom,
                      const std::vector<Membership::OutgoingMessage>& aMessages)
{
  for (const auto& outgoing : aMessages) {
    std::vector<std::uint8_t> bytes;
    outgoing.message.appendTo(bytes);
    ++mDatagramCount;
    mDatagramBytes += bytes.size();
    const auto to = processAt(outgoing.to);
    const bool isLost =
      std::uniform_real_distribution<>(0, 1)(mRandom) < mSettings.loss;
    if (isLost || mProcesses[aFrom]->isCutFromPeers ||
        mProcesses[to]->isCutFromPeers) {
      continue;
    }
    scheduleAt(
      to, delayBetween(aFrom, to), [this, aFrom, to, bytes](Process& aProcess) {
        const auto message = Membership::MemberMessage::parse(bytes);
        send(
          to,
          aProcess.following->handleMessage(addressOf(aFrom), *message, mNow));
        runStep(to);
      });
  }
}

void
MapDistribution::tick(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  send(aProcess, process.following->tick(mNow));
  runStep(aProcess);
  scheduleAt(aProcess,
             Membership::MapFollowing::kInterval,
             [this, aProcess](Process& /*aProcess*/) { tick(aProcess); });
}

void
MapDistribution::runStep(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  if (process.isCallingStore) {
    if (!process.following->shouldEndStoreCall(mNow)) {
      return;
    }
    process.isCallingStore = false;
    process.following->cancelStoreCall();
  }
  if (process.isFetching || mNow < process.pausedUntil) {
    return;
  }
  const auto next = process.following->nextStep(mNow);
  if (next.step == MapStep::CallStore && process.knownChange != 0) {
    callStore(aProcess);
  } else if (next.step == MapStep::FetchFromPeer) {
    fetch(aProcess, processAt(next.peer));
  }
}

/** Like a watch: ends when there is something new, or after a time. */
void
MapDistribution::callStore(std::size_t aProcess)
{
  auto& process = *mProcesses[aProcess];
  ++mStoreCallCount;
  process.isCallingStore = true;
  process.isCallLost = mIsStoreSilent;
  const auto call = ++process.storeCall;
  process.following->beginStoreCall(mNow);
  const bool isBehind = process.knownChange < mChange;
  const auto waitTime =
    process.following->needsStoreAnswer(mNow) || process.hasStoreFailed
      ? kShortWaitTime
      : Membership::MapFollowing::kStoreWaitTime;
  auto duration = isBehind ? kStoreDelay : waitTime;
  if (process.isCallLost) {
    duration = waitTime + kWatchTimeoutMargin;
  }
  if (process.isCutFromStore) {
    duration = kStoreTimeout;
  }
  scheduleAt(aProcess, duration, [this, aProcess, call](Process& aTarget) {
    if (aTarget.isCallingStore && aTarget.storeCall == call) {
      endStoreCall(aProcess, !aTarget.isCutFromStore && !aTarget.isCallLost);
    }
  });
}

void
MapDistribution::endStoreCall(std::size_t aProcess, bool aIsAnswered)
{
  auto& process = *mProcesses[aProcess];
  process.isCallingStore = false;
  process.hasStoreFailed = !aIsAnswered;
  send(aProcess, process.following->endStoreCall(aIsAnswered, mNow));
  if (aIsAnswered) {
    const bool hasChanged =
      process.knownChange != 0 && process.knownChange < mChange;
    learn(aProcess, mChange);
    hasChanged ? pauseSteps(aProcess) : runStep(aProcess);
  } else {
    scheduleAt(aProcess, kRetryDelay, [this, aProcess](Process& aTarget) {
      if (!aTarget.isCallingStore) {
        aTarget.knownChange == 0 ? callStore(aProcess) : runStep(aProcess);
      }
    });
  }
}

void
MapDistribution::fetch(std::size_t aProcess, std::size_t aPeer)
{
  mProcesses[aProcess]->isFetching = true;
  mProcesses[aProcess]->following->beginFetch();
  const auto& peer = *mProcesses[aPeer];
  const bool isSilent = peer.isSuspended || peer.isCutFromPeers ||
                        mProcesses[aProcess]->isCutFromPeers;
  const bool isAnswered = peer.following != nullptr && !isSilent;
  const auto delay =
    isSilent ? kFetchTimeout : 4 * delayBetween(aProcess, aPeer);
  scheduleAt(
    aProcess, delay, [=, this, known = peer.knownChange](Process& /*aTarget*/) {
      if (isAnswered) {
        learn(aProcess, known);
      }
      endFetch(aProcess, aPeer, isAnswered);
    });
}

void
MapDistribution::endFetch(std::size_t aProcess,
                          std::size_t aPeer,
                          bool aIsAnswered)
{
  auto& process = *mProcesses[aProcess];
  process.isFetching = false;
  process.following->endFetch(addressOf(aPeer), aIsAnswered);
  pauseSteps(aProcess);
}

void
MapDistribution::pauseSteps(std::size_t aProcess)
{
  mProcesses[aProcess]->pausedUntil = mNow + kWatchDelay;
  scheduleAt(aProcess, kWatchDelay, [this, aProcess](Process& /*aTarget*/) {
    runStep(aProcess);
  });
}

void
MapDistribution::learn(std::size_t aProcess, std::uint64_t aChange)
{
  auto& process = *mProcesses[aProcess];
  process.knownChange = std::max(process.knownChange, aChange);
  send(aProcess,
       process.following->setRevision({ 1, process.knownChange }, mNow));
}

std::chrono::milliseconds
MapDistribution::delayBetween(std::size_t aFrom, std::size_t aTo) const
{
  return zoneOf(aFrom) == zoneOf(aTo) ? kInZoneDelay : kCrossZoneDelay;
}

} // namespace MembershipTesting
