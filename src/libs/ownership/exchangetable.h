#pragma once

#include "packet/flowkey.h"
#include "packet/packetbuilder.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Ownership {

/**
 * The requests delivered in UDP flows of non-idempotent classes, and their
 * answers. Used to suppress duplicate datagrams.
 */
class ExchangeTable
{
public:
  /** Returns true if the payload is new in this flow. */
  bool recordRequest(const Packet::FlowKey& aFlow,
                     absl::Span<const std::uint8_t> aPayload);

  /** Stores the answer, which is repeated for a duplicate request. */
  void recordAnswer(const Packet::FlowKey& aFlow,
                    absl::Span<const std::uint8_t> aPacket);

  /** The answer; empty if there is none or the flow had several requests. */
  const Packet::Bytes& answer(const Packet::FlowKey& aFlow) const;

  void erase(const Packet::FlowKey& aFlow);

private:
  struct Exchange
  {
    std::vector<std::uint64_t> requests;
    Packet::Bytes answer;
  };

  absl::flat_hash_map<Packet::FlowKey, Exchange> mExchanges;
};

} // namespace Ownership
