#pragma once

#include "core/clock.h"
#include "packet/flowkey.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>

namespace Ownership {

enum class FlowState : std::uint8_t
{
  /** The first packet was delivered and the handshake is not done. */
  HalfOpen,
  Open,
  /** Ended; kept a little for the last acknowledgments. */
  Ended,
};

/** One flow that this agent's target owns. */
struct OwnedFlow
{
  Core::TimePoint openedAt;
  Core::TimePoint lastPacketAt;
  /** The backend server's first TCP sequence number, when known. */
  std::uint32_t backendSequence = 0;
  std::uint16_t classIndex = 0;
  std::uint16_t memberIndex = 0;
  /** Owner notices sent to balancers so far. */
  std::uint16_t notices = 0;
  FlowState state = FlowState::HalfOpen;
  bool isBackendSequenceKnown = false;
  bool isCallerDone = false;
  bool isBackendDone = false;
};

/** The flows that one agent owns. */
class FlowTable
{
public:
  OwnedFlow* find(const Packet::FlowKey& aFlow);
  OwnedFlow& insert(const Packet::FlowKey& aFlow, const OwnedFlow& aEntry);
  void erase(const Packet::FlowKey& aFlow);
  std::size_t size() const { return mFlows.size(); }
  /** Flows that did not end yet. */
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
