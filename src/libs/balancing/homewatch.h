#pragma once

#include "config/document.h"
#include "core/clock.h"

#include <absl/container/flat_hash_map.h>

namespace Balancing {

/**
 * Tells which homes do not answer. Every new flow makes its home answer with
 * an owner notice; a home that owes an answer for too long is skipped for a
 * while and then tried again. It costs no message of its own.
 */
class HomeWatch
{
public:
  void noteAsked(Config::Identity aHome, Core::TimePoint aNow);
  void noteAnswered(Config::Identity aHome);
  bool isSuspected(Config::Identity aHome, Core::TimePoint aNow);

private:
  struct Entry
  {
    Core::TimePoint askedAt;
    Core::TimePoint suspectedUntil;
  };

  absl::flat_hash_map<Config::Identity, Entry> mEntries;
};

} // namespace Balancing
