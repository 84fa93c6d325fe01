#include "balancing/homefailuredetector.h"

#include <chrono>

namespace Balancing {

namespace {

constexpr std::chrono::milliseconds kReplyTimeout{ 400 };
constexpr std::chrono::milliseconds kSuspicionDuration{ 2'000 };

} // namespace

void
HomeFailureDetector::recordRequest(Config::Identity aHome, Core::TimePoint aNow)
{
  mEntries.try_emplace(aHome, Entry{ aNow, {} });
}

void
HomeFailureDetector::recordReply(Config::Identity aHome)
{
  mEntries.erase(aHome);
}

bool
HomeFailureDetector::isSuspected(Config::Identity aHome, Core::TimePoint aNow)
{
  const auto it = mEntries.find(aHome);
  if (it == mEntries.end()) {
    return false;
  }
  auto& entry = it->second;
  if (entry.suspectedUntil != Core::TimePoint{}) {
    if (aNow < entry.suspectedUntil) {
      return true;
    }
    mEntries.erase(it);
    return false;
  }
  if (aNow - entry.requestedAt < kReplyTimeout) {
    return false;
  }
  entry.suspectedUntil = aNow + kSuspicionDuration;
  return true;
}

} // namespace Balancing
