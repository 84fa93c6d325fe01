#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <concepts>
#include <cstdint>
#include <vector>

namespace Steering {

/**
 * Properties of a parsed packet that balancers and agents use, independent of
 * its encoding.
 */
template<typename T>
concept FlowPacket = requires(const T& aPacket)
{
  {
    aPacket.bytes()
    } -> std::convertible_to<absl::Span<const std::uint8_t>>;
  /** The flow of a packet that was sent by a caller. */
  {
    aPacket.flowFromCaller()
    } -> std::same_as<Packet::FlowKey>;
  /** The flow of a packet that was sent by a backend server. */
  {
    aPacket.flowFromBackend()
    } -> std::same_as<Packet::FlowKey>;
  /** True for a SYN, the first packet that a caller sends in a flow. */
  {
    aPacket.isSyn()
    } -> std::same_as<bool>;
  /** Number of times that the caller sent this SYN before. */
  {
    aPacket.retransmissionCount()
    } -> std::same_as<std::uint32_t>;
  /** True for a SYN-ACK, the backend server's answer to a SYN. */
  {
    aPacket.isSynAck()
    } -> std::same_as<bool>;
  {
    aPacket.isFin()
    } -> std::same_as<bool>;
  {
    aPacket.isReset()
    } -> std::same_as<bool>;
  {
    aPacket.hasPayload()
    } -> std::same_as<bool>;
  /**
   * True if the backend server returned the packet: it does not own the flow,
   * or refused the SYN.
   */
  {
    aPacket.isReturned()
    } -> std::same_as<bool>;
  /** The token that setReturnToken() wrote to the packet. */
  {
    aPacket.returnToken()
    } -> std::same_as<std::uint32_t>;
  {
    aPacket.sequence()
    } -> std::same_as<std::uint32_t>;
  {
    aPacket.acknowledgment()
    } -> std::same_as<std::uint32_t>;
};

/**
 * A packet encoding in which backend servers return packets of flows that they
 * do not own. Balancers and agents are templates on it, so that they do not
 * depend on an encoding.
 */
template<typename T>
concept PacketFormat = requires(absl::Span<const std::uint8_t> aData,
                                absl::Span<std::uint8_t> aMutableData,
                                const typename T::Packet& aPacket)
{
  requires FlowPacket<typename T::Packet>;
  {
    T::parse(aData)
    } -> std::same_as<absl::StatusOr<typename T::Packet>>;
  /** Writes a token that the packet still contains when it is returned. */
  T::setReturnToken(aMutableData, std::uint32_t{});
  /** Restores a returned packet to what its sender wrote. */
  T::restoreOriginal(aMutableData);
  /** Builds a reset to the caller that sent aPacket. */
  {
    T::buildReset(aPacket)
    } -> std::same_as<std::vector<std::uint8_t>>;
};

} // namespace Steering
