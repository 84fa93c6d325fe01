#include "storesoak.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>

namespace {

using namespace std::chrono_literals;
using PlatformTesting::announcementText;
using PlatformTesting::configurationText;

constexpr auto kCheckInterval = 20ms;
/** A store that has been well for this time is stable. */
constexpr auto kStableTime = 4s;
/** The shortest bound for a change that is written to a stable store. */
constexpr auto kBound = 3s;
/** Servers that leave, one with each change. */
constexpr unsigned kServerCount = 200;

std::string
serverAddress(unsigned aNumber)
{
  return absl::StrCat("10.0.0.", aNumber + 1);
}

std::string
serverKey(unsigned aNumber)
{
  return absl::StrCat("servers/", aNumber);
}

} // namespace

StoreSoak::StoreSoak(const Settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mStartedAt(mClock.now())
  , mProcesses(aSettings.processCount)
{
  for (unsigned i = 0; i < kServerCount; ++i) {
    mStore.put(serverKey(i), announcementText(serverAddress(i)));
  }
  mStore.put("op/config", configurationText(++mVersion));
  for (auto& process : mProcesses) {
    start(process);
  }
}

std::vector<std::string>
StoreSoak::run()
{
  const auto end = mStartedAt + mSettings.duration;
  auto nextActionAt = mStartedAt + kStableTime;
  while (mClock.now() < end) {
    endDueFailures();
    updatePhase();
    if (mClock.now() >= nextActionAt) {
      performAction();
      nextActionAt = mClock.now() + randomTime(100, 700);
    }
    check();
    std::this_thread::sleep_for(kCheckInterval);
  }
  return mViolations;
}

void
StoreSoak::start(Process& aProcess)
{
  std::vector<Core::Endpoint> seeds;
  for (const auto& other : mProcesses) {
    if (other.follower != nullptr && &other != &aProcess && seeds.size() < 3) {
      seeds.push_back(other.follower->control());
    }
  }
  aProcess.follower =
    std::make_unique<PlatformTesting::Follower>(mStore.endpoint(), seeds);
  aProcess.startedAt = mClock.now();
  aProcess.highestVersion = 0;
  aProcess.follower->start();
}

void
StoreSoak::updatePhase()
{
  if (mClock.now() >= mPhaseEnd) {
    mIsFailurePhase = !mIsFailurePhase;
    mPhaseEnd = mClock.now() + (mIsFailurePhase ? randomTime(200, 6'000)
                                                : randomTime(5'000, 12'000));
  }
}

void
StoreSoak::performAction()
{
  const auto now = mClock.now();
  const auto choice = mRandom() % 8;
  if (!mIsFailurePhase || choice >= 6) {
    choice % 4 == 0 ? writeOddEntry() : writeChange();
    return;
  }
  mFailedAt = now;
  if (choice <= 2) {
    mStore.setSilent(true);
    mSilentUntil = std::max(mSilentUntil, now + randomTime(100, 4'000));
  } else if (choice == 3) {
    mStore.setAvailable(false);
    mUnavailableUntil =
      std::max(mUnavailableUntil, now + randomTime(100, 3'000));
  } else if (choice == 4) {
    mStore.discardHistory();
  } else {
    auto& process = mProcesses[mRandom() % mProcesses.size()];
    process.follower.reset();
    start(process);
  }
}

void
StoreSoak::endDueFailures()
{
  const auto now = mClock.now();
  const bool isSilent = now < mSilentUntil;
  const bool isUnavailable = now < mUnavailableUntil;
  if (isSilent || isUnavailable) {
    mFailedAt = now;
  }
  if (!isSilent) {
    mStore.setSilent(false);
  }
  if (!isUnavailable) {
    mStore.setAvailable(true);
  }
}

void
StoreSoak::writeChange()
{
  Change change;
  change.version = mVersion += 1 + mRandom() % 3;
  const auto server = change.version % kServerCount;
  change.drainedAddress = serverAddress(server);
  mStore.put(serverKey(server),
             announcementText(change.drainedAddress, "draining"));
  mStore.put("op/config", configurationText(change.version));
  change.writtenAt = mClock.now();
  mUncheckedChanges.push_back(change);
}

void
StoreSoak::writeOddEntry()
{
  const std::vector<std::string> entries{
    std::string(5'000, '['), "[[7]]", R"({"maxConcurrency":1e400})", "\xff"
  };
  mStore.put("servers/odd&entry", entries[mRandom() % entries.size()]);
}

void
StoreSoak::check()
{
  for (auto& process : mProcesses) {
    const auto version = process.follower->version();
    if (version < process.highestVersion) {
      addViolation(absl::StrCat(
        "version ", version, " in use after version ", process.highestVersion));
    }
    process.highestVersion = std::max(process.highestVersion, version);
  }
  const auto now = mClock.now();
  std::erase_if(mUncheckedChanges, [&](const Change& aChange) {
    const bool isDue = now - aChange.writtenAt >= kBound;
    if (isDue && aChange.writtenAt - mFailedAt >= kStableTime) {
      checkChange(aChange);
    }
    return isDue;
  });
}

void
StoreSoak::checkChange(const Change& aChange)
{
  ++mCheckedChangeCount;
  for (const auto& process : mProcesses) {
    if (aChange.writtenAt - process.startedAt < kStableTime) {
      continue;
    }
    const auto version = process.follower->version();
    if (version < aChange.version) {
      addViolation(absl::StrCat(
        "version ", version, " in use, ", aChange.version, " is in force"));
    }
    if (process.follower->accepts(aChange.drainedAddress)) {
      addViolation(
        absl::StrCat("new flows for the leaving ", aChange.drainedAddress));
    }
  }
}

std::chrono::milliseconds
StoreSoak::randomTime(std::int64_t aMinimum, std::int64_t aMaximum)
{
  std::uniform_int_distribution<std::int64_t> time(aMinimum, aMaximum);
  return std::chrono::milliseconds(time(mRandom));
}

void
StoreSoak::addViolation(const std::string& aText)
{
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    mClock.now() - mStartedAt);
  mViolations.push_back(absl::StrCat(time.count(), " ms: ", aText));
}
