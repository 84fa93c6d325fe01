#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace FlowTesting {

/**
 * Checks that open flows reach their targets: it must not happen that for
 * kMaxAstrayTime at least kMinAstrayPackets packets of a flow reach other
 * targets and none its own.
 */
class DeliveryCheck
{
public:
  static constexpr std::chrono::milliseconds kMaxAstrayTime{ 2'000 };
  static constexpr std::size_t kMinAstrayPackets = 3;

  /** A packet reached the flow's own target, or none can. */
  void restart(const Packet::FlowKey& aFlow) { mAstray.erase(aFlow); }
  /**
   * Records a packet that reached another target. Returns true if the rule is
   * violated, at most once until restart().
   */
  bool recordAstray(const Packet::FlowKey& aFlow, Core::TimePoint aNow);

private:
  /** The packets since the last restart(). */
  struct Astray
  {
    Core::TimePoint since{};
    std::size_t count = 0;
    bool isReported = false;
  };

  std::map<Packet::FlowKey, Astray> mAstray;
};

} // namespace FlowTesting
