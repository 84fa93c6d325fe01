#pragma once

#include <algorithm>

namespace Steering {

/**
 * Limits second attempts to less than a tenth of first attempts, so that trying
 * another target does not add to an overload. A few are allowed at once.
 */
class SecondAttemptBudget
{
public:
  /** First attempts for each second one. */
  static constexpr int kFirstAttempts = 12;
  /**
   * Maximum number of second attempts at once; enough for the flows that one
   * burst of a balancer sends to a target before its next report.
   */
  static constexpr int kBurst = 10;
  /** Second attempts that the least urgent class leaves to the others. */
  static constexpr int kReserved = 3;

  void recordFirstAttempt()
  {
    mCredit = std::min(mCredit + 1, kBurst * kFirstAttempts);
  }
  bool isAvailable(bool aIsLeastUrgent) const
  {
    const int reserved = aIsLeastUrgent ? kReserved * kFirstAttempts : 0;
    return mCredit >= reserved + kFirstAttempts;
  }
  void recordSecondAttempt() { mCredit -= kFirstAttempts; }

private:
  int mCredit = kBurst * kFirstAttempts;
};

} // namespace Steering
