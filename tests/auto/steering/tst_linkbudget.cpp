#include "steering/linkbudget.h"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using Steering::LinkBudget;

constexpr std::uint64_t kLinkRate = 1'250'000;
constexpr std::size_t kMessageBytes = 100 - LinkBudget::kHeaderBytes;

/** Sends as many messages of 100 bytes as possible; returns their bytes. */
std::size_t
spendBudget(LinkBudget& aBudget, Core::TimePoint aNow)
{
  std::size_t bytes = 0;
  while (aBudget.isAvailable(aNow)) {
    aBudget.take(kMessageBytes);
    bytes += 100;
  }
  return bytes;
}

} // namespace

TEST_CASE("searches get a quarter of the link, and a burst of 100 ms")
{
  LinkBudget budget(kLinkRate);
  Core::TimePoint now{ 100s };
  CHECK(spendBudget(budget, now) == kLinkRate / 10);
  std::size_t bytes = 0;
  for (int i = 0; i < 100; ++i) {
    now += 10ms;
    bytes += spendBudget(budget, now);
  }
  CHECK(bytes >= kLinkRate / 4 - 100);
  CHECK(bytes <= kLinkRate / 4 + 100);
}

TEST_CASE("an unused budget does not add up")
{
  LinkBudget budget(kLinkRate);
  spendBudget(budget, Core::TimePoint{ 100s });
  CHECK(spendBudget(budget, Core::TimePoint{ 200s }) == kLinkRate / 10);
}
