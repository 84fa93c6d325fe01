#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>

namespace Ownership {

enum class FlowState : std::uint8_t
{
  /** The SYN was delivered; the handshake is not complete. */
  HalfOpen,
  Open,
  /** Ended; retained to pass the last acknowledgments or find duplicates. */
  Ended,
};

/** A flow that the target of this agent owns. */
struct OwnedFlow
{
  Core::TimePoint openedAt;
  Core::TimePoint lastPacketAt;
  /** Initial TCP sequence number of the backend server, if known. */
  std::uint32_t backendInitialSequence = 0;
  std::uint16_t classIndex = 0;
  std::uint16_t memberIndex = 0;
  /** Number of owner notices sent to balancers. */
  std::uint16_t sentNotices = 0;
  FlowState state = FlowState::HalfOpen;
  bool isBackendSequenceKnown = false;
  bool isClosedByCaller = false;
  bool isClosedByBackend = false;
};

/** The flows that the target of this agent owns. */
class FlowTable
{
public:
  OwnedFlow* find(const Packet::FlowKey& aFlow);
  OwnedFlow& insert(const Packet::FlowKey& aFlow, const OwnedFlow& aOwnedFlow);
  void erase(const Packet::FlowKey& aFlow);
  std::size_t size() const { return mFlows.size(); }
  /** Number of flows that have not ended. */
  std::size_t openCount() const;

  using Visitor = std::function<void(const Packet::FlowKey&, OwnedFlow&)>;
  void forEach(const Visitor& aVisitor);

  using Predicate =
    std::function<bool(const Packet::FlowKey&, const OwnedFlow&)>;
  void eraseIf(const Predicate& aPredicate);

private:
  absl::flat_hash_map<Packet::FlowKey, OwnedFlow> mFlows;
};

} // namespace Ownership
