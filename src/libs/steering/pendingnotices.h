#pragma once

#include "steering/replyprogress.h"

#include "core/clock.h"
#include "core/endpoint.h"

#include <chrono>
#include <vector>

namespace Steering {

/**
 * Agents that were told of a change in a single datagram, which may be lost.
 * They are told again until they confirm it, but not for long: an agent without
 * power stays silent. Not thread-safe.
 */
class PendingNotices
{
public:
  static constexpr std::chrono::milliseconds kInterval{ 250 };
  static constexpr int kMaxRepetitions = 2;

  /** The agent was told at aNow. */
  void add(const Core::Endpoint& aAgent, Core::TimePoint aNow);
  /** The last message that the agent received was sent at aSendTime. */
  void confirm(const Core::Endpoint& aAgent, SendTime aSendTime);
  /** Returns the agents to tell again now. */
  std::vector<Core::Endpoint> takeDue(Core::TimePoint aNow);
  bool isEmpty() const { return mNotices.empty(); }

private:
  struct Notice
  {
    Core::Endpoint agent;
    Core::TimePoint toldAt{};
    int repetitionCount = 0;
  };

  std::vector<Notice> mNotices;
};

} // namespace Steering
