#pragma once

#include "packet/flowkey.h"

#include <absl/status/statusor.h>
#include <absl/types/span.h>

#include <concepts>
#include <cstdint>
#include <vector>

namespace Steering {

/** What the decisions ask of one parsed packet, whatever its encoding. */
template<typename T>
concept FlowPacket = requires(const T& aPacket)
{
  {
    aPacket.bytes()
    } -> std::convertible_to<absl::Span<const std::uint8_t>>;
  /** The flow of a packet that a caller sent. */
  {
    aPacket.flowToService()
    } -> std::same_as<Packet::FlowKey>;
  /** The flow of a packet that a backend server sent. */
  {
    aPacket.flowToCaller()
    } -> std::same_as<Packet::FlowKey>;
  /** The caller's first packet of a flow. */
  {
    aPacket.isOpening()
    } -> std::same_as<bool>;
  /** How often the caller sent this opening packet before. */
  {
    aPacket.copyNumber()
    } -> std::same_as<std::uint32_t>;
  /** The backend server's answer to the first packet. */
  {
    aPacket.isAccepting()
    } -> std::same_as<bool>;
  {
    aPacket.isClosing()
    } -> std::same_as<bool>;
  {
    aPacket.isReset()
    } -> std::same_as<bool>;
  {
    aPacket.carriesData()
    } -> std::same_as<bool>;
  /** The backend server does not hold the flow and returned the packet. */
  {
    aPacket.isHandedBack()
    } -> std::same_as<bool>;
  /** What stampReturnToken() wrote into the packet. */
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
 * A packet encoding in which backend servers hand back what they do not hold.
 * The decisions of balancers and agents are templates on it, so that they
 * know no encoding.
 */
template<typename T>
concept PacketFormat = requires(absl::Span<const std::uint8_t> aData,
                                absl::Span<std::uint8_t> aMutable,
                                const typename T::Packet& aPacket)
{
  requires FlowPacket<typename T::Packet>;
  {
    T::parse(aData)
    } -> std::same_as<absl::StatusOr<typename T::Packet>>;
  /** Writes a number that a handed back packet still carries. */
  T::stampReturnToken(aMutable, std::uint32_t{});
  /** Makes a handed back packet what its sender wrote. */
  T::restore(aMutable);
  /** A reset to the caller who sent aPacket. */
  {
    T::buildReset(aPacket)
    } -> std::same_as<std::vector<std::uint8_t>>;
};

} // namespace Steering
