#include "balancing/homewatch.h"

#include <chrono>

namespace Balancing {

namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{ 400 };
constexpr std::chrono::milliseconds kSuspicion{ 2'000 };

} // namespace

void
HomeWatch::noteAsked(Config::Identity aHome, Core::TimePoint aNow)
{
  mEntries.try_emplace(aHome, Entry{ aNow, {} });
}

void
HomeWatch::noteAnswered(Config::Identity aHome)
{
  mEntries.erase(aHome);
}

bool
HomeWatch::isSuspected(Config::Identity aHome, Core::TimePoint aNow)
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
  if (aNow - entry.askedAt < kAnswerTimeout) {
    return false;
  }
  entry.suspectedUntil = aNow + kSuspicion;
  return true;
}

} // namespace Balancing
