#pragma once

#include "packet/flowkey.h"
#include "packet/packetbuilder.h"

#include <absl/container/flat_hash_map.h>
#include <absl/types/span.h>

#include <cstdint>
#include <vector>

namespace Ownership {

/**
 * The requests that were delivered in UDP flows of non-idempotent classes,
 * so that a datagram which comes twice is delivered once.
 */
class ExchangeTable
{
public:
  /** True the first time that this payload comes in this flow. */
  bool noteRequest(const Packet::FlowKey& aFlow,
                   absl::Span<const std::uint8_t> aPayload);

  /** Keeps the answer, to be sent again when the request comes again. */
  void noteAnswer(const Packet::FlowKey& aFlow,
                  absl::Span<const std::uint8_t> aPacket);

  /** The answer; empty when there is none, or more than one request. */
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
